#include "switchsaddle/core/quota_allotter.h"

#include <algorithm>
#include <set>
#include <utility>

#include "switchsaddle/configuration/quota_share.h"
#include "switchsaddle/sessions/address_digest.h"

namespace switchsaddle::core {

namespace {

/** One adding up serves the grants of so long. */
constexpr base::Duration RefreshInterval = std::chrono::milliseconds(100);
/** What a silent front had let in counts for so long: at least the window of any quota. */
constexpr base::Duration UseRemembered = std::chrono::seconds(10);
/** A silent front's own part is kept back for so long: it may be cut off and serving. */
constexpr base::Duration SilenceRemembered = std::chrono::seconds(60);
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

std::optional<double> QuotaAllotter::limitOf(const std::string& tenant) const {
  if (!view_) {
    return std::nullopt;
  }
  const auto found = view_->forwarding.tenants.find(tenant);
  return found == view_->forwarding.tenants.end() ? std::nullopt : bounds_.limitOf(found->second);
}

bool QuotaAllotter::muchUsed(const std::string& tenant, const Total& total) const {
  const std::optional<double> limit = limitOf(tenant);
  const double soon_used = total.admitted + total.units_per_s * SoonS;
  return limit && soon_used >= *limit * MuchUsed;
}

void QuotaAllotter::refresh() {
  const base::TimePoint now = dispatcher_.now();
  if (refreshed_ && now - refreshed_at_ < RefreshInterval) {
    return;
  }
  refreshed_ = true;
  ++refreshes_;
  refreshed_at_ = now;
  hearFronts();
  const bool young = hearing_since_ && now - *hearing_since_ < window();
  if (young && nobodyMissing()) {
    hearing_since_ = now - window();
  }
  std::erase_if(fronts_,
                [now](const auto& item) { return now - item.second.heard_at > SilenceRemembered; });
  totals_.clear();
  for (const auto& [key, front] : fronts_) {
    const bool live = front.heard_at == now;
    if (refreshed_at_ - front.heard_at > UseRemembered) {
      continue;
    }
    for (const wire::TenantDemand& demand : front.demand) {
      Total& total = totals_[demand.tenant];
      total.units_per_s += live ? demand.units_per_s : 0;
      total.admitted += demand.admitted;
    }
  }
  countCutOff();
}

base::Duration QuotaAllotter::window() const {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(bounds_.window_s));
}

void QuotaAllotter::hearFronts() {
  live_ = 0;
  young_ = 0;
  const std::int64_t window_ms = base::toMilliseconds(window());
  records_([this, window_ms](const wire::SessionRecord& record) {
    ++live_;
    young_ += record.witness.age_ms < window_ms ? 1 : 0;
    Front& front = fronts_[FrontKey{record.front, record.instance}];
    front.heard_at = refreshed_at_;
    front.demand = record.demand;
    front.witness = record.witness;
    front.settled_asks = record.settled_asks;
  });
}

bool QuotaAllotter::nobodyMissing() const {
  if (live_ == 0 || young_ > 0) {
    return false;
  }
  std::set<base::NodeAddress> heard;
  for (const auto& [key, front] : fronts_) {
    if (front.heard_at == refreshed_at_) {
      heard.insert(key.first);
    }
  }
  const std::uint64_t digest = sessions::digestOfFronts(heard);
  return std::ranges::all_of(fronts_, [this, digest](const auto& item) {
    const Front& front = item.second;
    return front.heard_at != refreshed_at_ || front.witness.fronts_digest == digest;
  });
}

std::map<std::string, double> QuotaAllotter::admittedBy(const FrontKey& key) const {
  std::map<std::string, double> admitted;
  const auto front = fronts_.find(key);
  const bool counted =
      front != fronts_.end() && refreshed_at_ - front->second.heard_at <= UseRemembered;
  if (counted) {
    for (const wire::TenantDemand& demand : front->second.demand) {
      admitted[demand.tenant] = demand.admitted;
    }
  }
  return admitted;
}

void QuotaAllotter::countCutOff() {
  std::set<base::NodeAddress> live;
  std::set<base::NodeAddress> all;
  for (const auto& [key, front] : fronts_) {
    all.insert(key.first);
    if (front.heard_at == refreshed_at_) {
      live.insert(key.first);
    }
  }
  for (const auto& [key, front] : fronts_) {
    // Once for each address: of several processes there one serves at most.
    if (!live.insert(key.first).second) {
      continue;
    }
    const std::map<std::string, double> admitted = admittedBy(key);
    for (auto& [tenant, total] : totals_) {
      const double alone = limitOf(tenant).value_or(0) / static_cast<double>(all.size());
      const auto let_in = admitted.find(tenant);
      total.admitted += std::max(0.0, alone - (let_in == admitted.end() ? 0 : let_in->second));
    }
  }
}

bool QuotaAllotter::knowsAll() {
  const base::TimePoint now = dispatcher_.now();
  if (!hearing_since_) {
    hearing_since_ = now;
  }
  refresh();
  return now - *hearing_since_ >= window();
}

std::optional<QuotaUse> QuotaAllotter::useOf(const std::string& tenant) {
  const std::optional<double> limit = limitOf(tenant);
  const bool knows = knowsAll();
  if (!limit || (!knows && !mostFrontsAreYoung())) {
    return std::nullopt;
  }
  const double unknown = knows ? 0 : unknownPart() * *limit * configuration::UsedShareOfQuota;
  const auto total = totals_.find(tenant);
  const double admitted = total == totals_.end() ? 0 : total->second.admitted;
  return QuotaUse{*limit, admitted + unknown};
}

bool QuotaAllotter::hasQuotas() const {
  return view_ && std::ranges::any_of(view_->forwarding.tenants, [this](const auto& item) {
           return bounds_.limitOf(item.second).has_value();
         });
}

bool QuotaAllotter::mayDecide() {
  return hasQuotas() && (knowsAll() || mostFrontsAreYoung());
}

double QuotaAllotter::unknownPart() const {
  const double heard_s = std::chrono::duration<double>(dispatcher_.now() - *hearing_since_).count();
  const double left_of_window = std::max(0.0, 1 - heard_s / bounds_.window_s);
  const auto live = static_cast<double>(std::max<std::size_t>(1, live_));
  return left_of_window * static_cast<double>(young_) / live;
}

std::optional<std::uint64_t> QuotaAllotter::settledAsks(const base::NodeAddress& front,
                                                        std::uint64_t instance) const {
  const auto found = fronts_.find(FrontKey{front, instance});
  return found == fronts_.end() ? std::nullopt : std::optional(found->second.settled_asks);
}

std::optional<std::vector<wire::TenantAllotment>> QuotaAllotter::allot(
    const wire::SessionRecord& record) {
  if (!knowsAll()) {
    return std::nullopt;
  }
  const auto live = static_cast<double>(std::max<std::size_t>(1, live_));
  std::map<std::string, wire::TenantDemand> own;
  for (const wire::TenantDemand& demand : record.demand) {
    own[demand.tenant] = demand;
  }
  const std::map<std::string, double> counted = admittedBy(FrontKey{record.front, record.instance});
  std::vector<wire::TenantAllotment> allotments;
  for (const auto& [tenant, total] : totals_) {
    if (!muchUsed(tenant, total)) {
      continue;
    }
    const wire::TenantDemand& asked = own[tenant];
    const double by_demand =
        total.units_per_s > 0 ? std::min(1.0, asked.units_per_s / total.units_per_s) : 1 / live;
    const double share = (1 - EqualPart) * by_demand + EqualPart / live;
    // What this very record tells goes before what was added up a moment ago.
    const auto before = counted.find(tenant);
    const double newer = asked.admitted - (before == counted.end() ? 0 : before->second);
    allotments.push_back({tenant, static_cast<float>(share), static_cast<float>(total.units_per_s),
                          static_cast<float>(total.admitted + newer)});
  }
  return allotments;
}

}  // namespace switchsaddle::core
