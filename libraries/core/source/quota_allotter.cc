#include "switchsaddle/core/quota_allotter.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::core {

namespace {

/** One adding up serves the grants of so long. */
constexpr base::Duration RefreshInterval = std::chrono::milliseconds(100);
/** What a silent front had let in counts for so long: at least the window of any quota. */
constexpr base::Duration SilenceRemembered = std::chrono::seconds(10);
/** Part that is divided equally, for demand that moves from front to front. */
constexpr double EqualPart = 0.3;
/** Fronts are told of a tenant from this part of its quota on, with what it asks for in so many
 * seconds counted in. */
constexpr double MuchUsed = 0.4;
constexpr double SoonS = 1.0;

}  // namespace

QuotaAllotter::QuotaAllotter(base::Dispatcher& dispatcher, RecordSource records,
                             configuration::QuotaBounds bounds)
    : dispatcher_(dispatcher), records_(std::move(records)), bounds_(bounds) {}

bool QuotaAllotter::muchUsed(const std::string& tenant, const Total& total) const {
  if (!view_) {
    return false;
  }
  const auto found = view_->forwarding.tenants.find(tenant);
  if (found == view_->forwarding.tenants.end()) {
    return false;
  }
  const std::optional<double> limit = bounds_.limitOf(found->second);
  const double soon_used = total.admitted + total.units_per_s * SoonS;
  return limit && soon_used >= *limit * MuchUsed;
}

void QuotaAllotter::refresh() {
  const base::TimePoint now = dispatcher_.now();
  if (refreshed_ && now - refreshed_at_ < RefreshInterval) {
    return;
  }
  refreshed_ = true;
  refreshed_at_ = now;
  const Records records = records_();
  live_ = records.size();
  for (const wire::SessionTableEntry& entry : records) {
    fronts_[FrontKey{entry.record.front, entry.record.instance}] = {now, entry.record.demand};
  }
  std::erase_if(fronts_,
                [now](const auto& item) { return now - item.second.heard_at > SilenceRemembered; });
  totals_.clear();
  for (const auto& [key, front] : fronts_) {
    const bool live = front.heard_at == now;
    for (const wire::TenantDemand& demand : front.demand) {
      Total& total = totals_[demand.tenant];
      total.units_per_s += live ? demand.units_per_s : 0;
      total.admitted += demand.admitted;
    }
  }
}

std::vector<wire::TenantAllotment> QuotaAllotter::allot(const wire::SessionRecord& record) {
  refresh();
  const auto live = static_cast<double>(std::max<std::size_t>(1, live_));
  std::map<std::string, double> own;
  for (const wire::TenantDemand& demand : record.demand) {
    own[demand.tenant] = demand.units_per_s;
  }
  std::vector<wire::TenantAllotment> allotments;
  for (const auto& [tenant, total] : totals_) {
    if (!muchUsed(tenant, total)) {
      continue;
    }
    const double by_demand =
        total.units_per_s > 0 ? std::min(1.0, own[tenant] / total.units_per_s) : 1 / live;
    const double share = (1 - EqualPart) * by_demand + EqualPart / live;
    allotments.push_back({tenant, static_cast<float>(share), static_cast<float>(total.units_per_s),
                          static_cast<float>(total.admitted)});
  }
  return allotments;
}

}  // namespace switchsaddle::core
