#include "switchsaddle/core/quotas/quota_allocator.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/configuration/quota_share.h"

namespace switchsaddle::core {

namespace {

/** Minimum time between two aggregations of the records. */
constexpr base::Duration RefreshInterval = std::chrono::milliseconds(100);
/** Fraction of the quota that is divided equally, to allow for demand that moves between fronts. */
constexpr double EqualShare = 0.3;
/** A quota is reported to fronts if the expected use is at least this fraction of it. */
constexpr double ReportingThreshold = 0.4;
/** The demand of this time, in seconds, is added to the present use to get the expected use. */
constexpr double DemandHorizonS = 1.0;

}  // namespace

QuotaAllocator::QuotaAllocator(base::Dispatcher& dispatcher, RecordSource records,
                               configuration::QuotaBounds bounds)
    : dispatcher_(dispatcher), records_(std::move(records)), bounds_(bounds) {}

std::optional<double> QuotaAllocator::limitOf(const std::string& tenant) const {
  if (!view_) {
    return std::nullopt;
  }
  const auto found = view_->forwarding.tenants.find(tenant);
  return found == view_->forwarding.tenants.end() ? std::nullopt : bounds_.limitOf(found->second);
}

bool QuotaAllocator::exceedsReportingThreshold(const std::string& tenant,
                                               const TenantTotal& total) const {
  const std::optional<double> limit = limitOf(tenant);
  const double expected_use = total.admitted + total.units_per_s * DemandHorizonS;
  return limit && expected_use >= *limit * ReportingThreshold;
}

base::Duration QuotaAllocator::window() const {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(bounds_.window_s));
}

void QuotaAllocator::refresh() {
  const base::TimePoint now = dispatcher_.now();
  if (refreshed_at_ && now - *refreshed_at_ < RefreshInterval) {
    return;
  }
  ++refreshes_;
  refreshed_at_ = now;
  demand_.update(records_, window(), now);
  const bool incomplete = receiving_since_ && now - *receiving_since_ < window();
  if (incomplete && demand_.allFrontsKnown()) {
    receiving_since_ = now - window();
  }
  demand_.aggregate([this](const std::string& tenant) { return limitOf(tenant); });
}

bool QuotaAllocator::hasFullWindow() {
  const base::TimePoint now = dispatcher_.now();
  if (!receiving_since_) {
    receiving_since_ = now;
  }
  refresh();
  return now - *receiving_since_ >= window();
}

std::optional<QuotaUse> QuotaAllocator::useOf(const std::string& tenant) {
  const std::optional<double> limit = limitOf(tenant);
  const bool is_known = hasFullWindow();
  if (!limit || (!is_known && !demand_.mostFrontsStartedRecently())) {
    return std::nullopt;
  }
  const double unknown = is_known ? 0 : unknownShare() * *limit * configuration::UsableQuotaShare;
  const auto total = demand_.totals().find(tenant);
  const double admitted = total == demand_.totals().end() ? 0 : total->second.admitted;
  return QuotaUse{*limit, admitted + unknown};
}

bool QuotaAllocator::hasQuotas() const {
  return view_ && std::ranges::any_of(view_->forwarding.tenants, [this](const auto& item) {
           return bounds_.limitOf(item.second).has_value();
         });
}

bool QuotaAllocator::mayDecide() {
  return hasQuotas() && (hasFullWindow() || demand_.mostFrontsStartedRecently());
}

double QuotaAllocator::unknownShare() const {
  const double received_s =
      std::chrono::duration<double>(dispatcher_.now() - *receiving_since_).count();
  const double unknown_window = std::max(0.0, 1 - received_s / bounds_.window_s);
  const auto live = static_cast<double>(std::max<std::size_t>(1, demand_.liveFronts()));
  return unknown_window * static_cast<double>(demand_.recentlyStartedFronts()) / live;
}

std::optional<std::vector<wire::TenantAllocation>> QuotaAllocator::allocate(
    const wire::SessionRecord& record) {
  if (!hasFullWindow()) {
    return std::nullopt;
  }
  std::map<std::string, wire::TenantDemand> reported;
  for (const wire::TenantDemand& demand : record.demand) {
    reported[demand.tenant] = demand;
  }
  const std::map<std::string, double> counted =
      demand_.admittedBy(FrontKey{record.front, record.instance});
  std::vector<wire::TenantAllocation> allocations;
  for (const auto& [tenant, total] : demand_.totals()) {
    if (exceedsReportingThreshold(tenant, total)) {
      const auto before = counted.find(tenant);
      allocations.push_back(allocationOf(tenant, total, reported[tenant],
                                         before == counted.end() ? 0 : before->second));
    }
  }
  return allocations;
}

wire::TenantAllocation QuotaAllocator::allocationOf(const std::string& tenant,
                                                    const TenantTotal& total,
                                                    const wire::TenantDemand& reported,
                                                    double counted) const {
  const auto live = static_cast<double>(std::max<std::size_t>(1, demand_.liveFronts()));
  const double by_demand =
      total.units_per_s > 0 ? std::min(1.0, reported.units_per_s / total.units_per_s) : 1 / live;
  const double share = (1 - EqualShare) * by_demand + EqualShare / live;
  // The front's present record supersedes the one that was aggregated.
  const double newer = reported.admitted - counted;
  return {tenant, static_cast<float>(share), static_cast<float>(total.units_per_s),
          static_cast<float>(total.admitted + newer)};
}

}  // namespace switchsaddle::core
