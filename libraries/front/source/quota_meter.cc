#include "switchsaddle/front/quota_meter.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::front {

namespace {

/** Demand is a mean over about this time, in seconds. */
constexpr double DemandTimeS = 0.7;
constexpr double ShortestDemandS = 0.1;
/** Less than this is not told. */
constexpr double LeastDemandPerS = 0.01;
constexpr base::Duration SliceLength = std::chrono::milliseconds(100);
/** What a refused caller is told at least and at most. */
constexpr base::Duration ShortestWait = std::chrono::milliseconds(200);
constexpr base::Duration LongestWait = std::chrono::seconds(2);

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
  const double room = availableByAllocation(limit, usage);
  const double age_s = secondsOf(dispatcher_.now() - started_at_);
  // Cores that tell have heard every front for a window, also this one's earlier life.
  if (hasRecentReport() || age_s >= options_.bounds.window_s) {
    return room;
  }
  const auto fronts =
      static_cast<double>(reported_at_ ? fronts_ : std::max(fronts_, options_.assumed_fronts));
  const double part = limit / fronts * age_s / options_.bounds.window_s;
  const double young = part * options_.young_factor + limit * options_.young_share;
  return std::min(room, young - usage.in_window);
}

bool QuotaMeter::hasRecentReport() const {
  return reported_at_ && dispatcher_.now() - *reported_at_ < options_.allocation_lifetime;
}

double QuotaMeter::availableByAllocation(double limit, const Usage& usage) const {
  const double untold = usage.total - usage.allocated_total;
  const double still_told = unexpiredReported(usage);
  if (!hasRecentReport()) {
    const double equal = 1.0 / static_cast<double>(fronts_);
    const double last = usage.last_share.value_or(equal);
    const double alone = limit * std::min(equal, last) - usage.in_window;
    // What others let in before the cores fell silent leaves the window only bit by bit.
    const double freed = (limit - still_told) * std::max(equal, last) - untold;
    return still_told > 0 ? std::min(alone, freed) : alone;
  }
  if (!usage.allocation) {
    return std::min(limit * options_.unreported_share, limit - still_told) - untold;
  }
  const double admitted = std::max<double>(usage.allocation->fleet_admitted, still_told);
  const double left = limit - admitted;
  const double soon_used = usage.allocation->fleet_units_per_s * secondsOf(options_.knowledge_lag);
  return std::max(left * usage.allocation->share, left - soon_used) - untold;
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
  const double left = limit - usage.allocation->fleet_admitted;
  const double soon_used = usage.allocation->fleet_units_per_s * secondsOf(options_.knowledge_lag);
  const double untold = usage.total - usage.allocated_total;
  return left - options_.comfortable * soon_used - untold < units;
}

void QuotaMeter::acquire(const configuration::ForwardTenant& tenant, std::uint32_t urgency,
                         double units, DecisionCallback callback) {
  const std::optional<double> bound = options_.bounds.limitOf(tenant);
  if (!bound) {
    // Without a quota nothing is counted.
    callback(std::nullopt);
    return;
  }
  const double limit = *bound * options_.used;
  usageOf(tenant.name).asked += units;
  const bool asks = authority_ != nullptr && authority_->reachable();
  if (!asks || !isNearQuota(tenant, limit, units)) {
    tell(tenant, units, acquireFromShare(tenant, limit, units), callback);
    return;
  }
  authority_->ask(tenant.name, urgency, units,
                  [this, alive = std::weak_ptr(alive_), tenant, limit, units,
                   callback = std::move(callback)](const std::optional<wire::QuotaReply>& answer) {
                    if (alive.expired()) {
                      return;
                    }
                    Decision decision;
                    if (!answer) {
                      decision = acquireFromShare(tenant, limit, units);
                    } else if (answer->granted) {
                      count(usageOf(tenant.name), units);
                    } else {
                      decision = std::chrono::milliseconds(answer->retry_after_ms);
                    }
                    tell(tenant, units, decision, callback);
                  });
}

void QuotaMeter::tell(const configuration::ForwardTenant& tenant, double units,
                      const Decision& decision, const DecisionCallback& callback) {
  const bool goes_on = callback(decision);
  if (!goes_on && !decision) {
    refund(tenant, units);
  }
}

QuotaMeter::Decision QuotaMeter::take(const configuration::ForwardTenant& tenant, double units) {
  const std::optional<double> limit = options_.bounds.limitOf(tenant);
  if (!limit) {
    return std::nullopt;
  }
  usageOf(tenant.name).asked += units;
  return acquireFromShare(tenant, *limit * options_.used, units);
}

QuotaMeter::Decision QuotaMeter::acquireFromShare(const configuration::ForwardTenant& tenant,
                                                  double limit, double units) {
  Usage& usage = usageOf(tenant.name);
  expire(usage);
  const double room = availableUnits(limit, usage);
  if (units <= room) {
    count(usage, units);
    return std::nullopt;
  }
  const double rate = std::max(1.0, tenant.rate_per_s);
  const auto wait = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(60.0, (units - room) / rate)));
  return std::clamp(wait, ShortestWait, LongestWait);
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
    if (elapsed_s >= ShortestDemandS) {
      const double kept = std::exp(-elapsed_s / DemandTimeS);
      usage.demand_per_s = usage.demand_per_s * kept + usage.asked / elapsed_s * (1 - kept);
      usage.asked = 0;
      usage.demand_at = now;
    }
    expire(usage);
    usage.reported_total = usage.total;
    const auto admitted = static_cast<float>(std::max(0.0, usage.in_window));
    if (admitted > 0 || usage.demand_per_s >= LeastDemandPerS) {
      demands.push_back({name, static_cast<float>(usage.demand_per_s), admitted});
    }
  }
  return demands;
}

}  // namespace switchsaddle::front
