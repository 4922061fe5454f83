#include "switchsaddle/front/admission/quota_meter.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::front {

namespace {

/** Time constant of the exponential mean of the demand. */
constexpr double DemandTimeConstantS = 0.7;
/** The demand is updated at most once in this time. */
constexpr double MinimumDemandIntervalS = 0.1;
/** Demand below this is not reported. */
constexpr double MinimumDemandPerS = 0.01;
constexpr base::Duration SliceLength = std::chrono::milliseconds(100);
/** Bounds of the Retry-After time of a rejected request. */
constexpr base::Duration MinimumRetryAfter = std::chrono::milliseconds(200);
constexpr base::Duration MaximumRetryAfter = std::chrono::seconds(2);

/** Upper bound of the computed wait in seconds, so that its conversion to a duration does not
 * overflow. */
constexpr double MaximumWaitS = 60;

double secondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

QuotaMeter::QuotaMeter(base::Dispatcher& dispatcher, QuotaOptions options,
                       QuotaAuthority* authority)
    : dispatcher_(dispatcher),
      options_(options),
      authority_(authority),
      started_at_(dispatcher.now()) {}

void QuotaMeter::setFronts(std::size_t fronts) {
  fronts_ = std::max<std::size_t>(1, fronts);
}

QuotaMeter::Usage& QuotaMeter::usageOf(const std::string& tenant) {
  const auto [found, is_new] = usages_.try_emplace(tenant);
  if (is_new) {
    found->second.demand_at = dispatcher_.now();
  }
  return found->second;
}

void QuotaMeter::expire(Usage& usage) const {
  const base::TimePoint now = dispatcher_.now();
  while (!usage.slices.empty() &&
         secondsOf(now - usage.slices.front().start - SliceLength) >= options_.bounds.window_s) {
    usage.in_window -= usage.slices.front().units;
    usage.slices.pop_front();
  }
}

void QuotaMeter::count(Usage& usage, double units) {
  const base::TimePoint now = dispatcher_.now();
  if (usage.slices.empty() || now - usage.slices.back().start >= SliceLength) {
    usage.slices.push_back({now, 0});
  }
  usage.slices.back().units += units;
  usage.in_window += units;
  usage.total += units;
}

double QuotaMeter::availableUnits(double limit, const Usage& usage) const {
  const double available = availableByAllocation(limit, usage);
  const double age_s = secondsOf(dispatcher_.now() - started_at_);
  // Cores send a report only after they have received the reports of every front for a window,
  // including those of this front's earlier incarnation.
  if (hasRecentReport() || age_s >= options_.bounds.window_s) {
    return available;
  }
  const auto fronts =
      static_cast<double>(reported_at_ ? fronts_ : std::max(fronts_, options_.assumed_fronts));
  const double equal_share = limit / fronts * age_s / options_.bounds.window_s;
  const double startup = equal_share * options_.startup_factor + limit * options_.startup_share;
  return std::min(available, startup - usage.in_window);
}

bool QuotaMeter::hasRecentReport() const {
  return reported_at_ && dispatcher_.now() - *reported_at_ < options_.allocation_lifetime;
}

double QuotaMeter::availableByAllocation(double limit, const Usage& usage) const {
  if (!hasRecentReport()) {
    return availableWithoutReport(limit, usage);
  }
  const double unreported = usage.total - usage.allocated_total;
  const double unexpired = unexpiredReported(usage);
  if (!usage.allocation) {
    return std::min(limit * options_.unreported_share, limit - unexpired) - unreported;
  }
  const double admitted = std::max<double>(usage.allocation->fleet_admitted, unexpired);
  const double remaining = limit - admitted;
  const double used_in_delay =
      usage.allocation->fleet_units_per_s * secondsOf(options_.propagation_delay);
  return std::max(remaining * usage.allocation->share, remaining - used_in_delay) - unreported;
}

double QuotaMeter::availableWithoutReport(double limit, const Usage& usage) const {
  const double unreported = usage.total - usage.allocated_total;
  const double unexpired = unexpiredReported(usage);
  const double equal_share = 1.0 / static_cast<double>(fronts_);
  const double last_share = usage.last_share.value_or(equal_share);
  const double from_own_share = limit * std::min(equal_share, last_share) - usage.in_window;
  // What the peers admitted before the last report leaves the window only gradually.
  const double from_remainder =
      (limit - unexpired) * std::max(equal_share, last_share) - unreported;
  return unexpired > 0 ? std::min(from_own_share, from_remainder) : from_own_share;
}

double QuotaMeter::unexpiredReported(const Usage& usage) const {
  const double age_s = secondsOf(dispatcher_.now() - usage.highest_reported_at);
  return usage.highest_reported * std::max(0.0, 1 - age_s / options_.bounds.window_s);
}

bool QuotaMeter::isNearQuota(const configuration::ForwardTenant& tenant, double limit,
                             double units) {
  const Usage& usage = usageOf(tenant.name);
  if (!hasRecentReport()) {
    return true;
  }
  if (!usage.allocation) {
    return false;
  }
  const double remaining = limit - usage.allocation->fleet_admitted;
  const double used_in_delay =
      usage.allocation->fleet_units_per_s * secondsOf(options_.propagation_delay);
  const double unreported = usage.total - usage.allocated_total;
  return remaining - options_.headroom_factor * used_in_delay - unreported < units;
}

void QuotaMeter::acquire(const configuration::ForwardTenant& tenant, std::uint32_t urgency,
                         double units, DecisionCallback callback) {
  const std::optional<double> bound = options_.bounds.limitOf(tenant);
  if (!bound) {
    // Tenants without a quota are not metered.
    callback(std::nullopt);
    return;
  }
  const double limit = *bound * options_.used_share;
  usageOf(tenant.name).requested += units;
  const bool has_authority = authority_ != nullptr && authority_->reachable();
  if (!has_authority || !isNearQuota(tenant, limit, units)) {
    deliver(tenant, units, acquireFromShare(tenant, limit, units), callback);
    return;
  }
  auto on_reply = [this, tenant, limit, units,
                   callback = std::move(callback)](const std::optional<wire::QuotaReply>& reply) {
    deliver(tenant, units, decide(tenant, limit, units, reply), callback);
  };
  authority_->request(tenant.name, urgency, units, callbacks_.guard(std::move(on_reply)));
}

QuotaMeter::Decision QuotaMeter::decide(const configuration::ForwardTenant& tenant, double limit,
                                        double units,
                                        const std::optional<wire::QuotaReply>& reply) {
  if (!reply) {
    return acquireFromShare(tenant, limit, units);
  }
  if (!reply->granted) {
    return std::chrono::milliseconds(reply->retry_after_ms);
  }
  count(usageOf(tenant.name), units);
  return std::nullopt;
}

void QuotaMeter::deliver(const configuration::ForwardTenant& tenant, double units,
                         const Decision& decision, const DecisionCallback& callback) {
  const AdmittedUnits admitted = callback(decision);
  if (admitted == AdmittedUnits::Refund && !decision) {
    refund(tenant, units);
  }
}

QuotaMeter::Decision QuotaMeter::acquireLocally(const configuration::ForwardTenant& tenant,
                                                double units) {
  const std::optional<double> limit = options_.bounds.limitOf(tenant);
  if (!limit) {
    return std::nullopt;
  }
  usageOf(tenant.name).requested += units;
  return acquireFromShare(tenant, *limit * options_.used_share, units);
}

QuotaMeter::Decision QuotaMeter::acquireFromShare(const configuration::ForwardTenant& tenant,
                                                  double limit, double units) {
  Usage& usage = usageOf(tenant.name);
  expire(usage);
  const double available = availableUnits(limit, usage);
  if (units <= available) {
    count(usage, units);
    return std::nullopt;
  }
  const double rate = std::max(1.0, tenant.rate_per_s);
  const auto retry_after = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(MaximumWaitS, (units - available) / rate)));
  return std::clamp(retry_after, MinimumRetryAfter, MaximumRetryAfter);
}

void QuotaMeter::refund(const configuration::ForwardTenant& tenant, double units) {
  const auto found = usages_.find(tenant.name);
  if (found != usages_.end() && !found->second.slices.empty()) {
    count(found->second, -units);
  }
}

void QuotaMeter::setAllocations(const std::vector<wire::TenantAllocation>& allocations) {
  reported_at_ = dispatcher_.now();
  for (auto& [name, usage] : usages_) {
    usage.allocation.reset();
    usage.allocated_total = usage.reported_total;
  }
  for (const wire::TenantAllocation& allocation : allocations) {
    Usage& usage = usageOf(allocation.tenant);
    if (allocation.fleet_admitted >= unexpiredReported(usage)) {
      usage.highest_reported = allocation.fleet_admitted;
      usage.highest_reported_at = *reported_at_;
    }
    usage.allocation = allocation;
    usage.last_share = allocation.share;
  }
}

std::vector<wire::TenantDemand> QuotaMeter::demand() {
  std::vector<wire::TenantDemand> demands;
  const base::TimePoint now = dispatcher_.now();
  for (auto& [name, usage] : usages_) {
    const double elapsed_s = secondsOf(now - usage.demand_at);
    if (elapsed_s >= MinimumDemandIntervalS) {
      const double decay = std::exp(-elapsed_s / DemandTimeConstantS);
      usage.demand_per_s = usage.demand_per_s * decay + usage.requested / elapsed_s * (1 - decay);
      usage.requested = 0;
      usage.demand_at = now;
    }
    expire(usage);
    usage.reported_total = usage.total;
    const auto admitted = static_cast<float>(std::max(0.0, usage.in_window));
    if (admitted > 0 || usage.demand_per_s >= MinimumDemandPerS) {
      demands.push_back({name, static_cast<float>(usage.demand_per_s), admitted});
    }
  }
  return demands;
}

}  // namespace switchsaddle::front
