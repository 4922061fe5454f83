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

QuotaMeter::QuotaMeter(base::Dispatcher& dispatcher, QuotaOptions options)
    : dispatcher_(dispatcher), options_(options) {}

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

double QuotaMeter::roomOf(double limit, const Usage& usage) const {
  const bool fresh = told_at_ && dispatcher_.now() - *told_at_ < options_.allotment_lifetime;
  if (!fresh) {
    const double equal = 1.0 / static_cast<double>(fronts_);
    return limit * std::min(equal, usage.last_share.value_or(equal)) - usage.in_window;
  }
  const double untold = usage.total - usage.allotted_total;
  if (!usage.allotment) {
    return limit * options_.untold_part - untold;
  }
  const double left = limit - usage.allotment->fleet_admitted;
  const double soon_used = usage.allotment->fleet_units_per_s * secondsOf(options_.knowledge_lag);
  return std::max(left * usage.allotment->share, left - soon_used) - untold;
}

std::optional<base::Duration> QuotaMeter::take(const configuration::ForwardTenant& tenant,
                                               double units) {
  const std::optional<double> limit = options_.bounds.limitOf(tenant);
  if (!limit) {
    return std::nullopt;
  }
  Usage& usage = usageOf(tenant.name);
  usage.asked += units;
  expire(usage);
  const double room = roomOf(*limit * options_.used, usage);
  if (units <= room) {
    count(usage, units);
    return std::nullopt;
  }
  const double rate = std::max(1.0, tenant.rate_per_s);
  const auto wait = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(60.0, (units - room) / rate)));
  return std::clamp(wait, ShortestWait, LongestWait);
}

void QuotaMeter::giveBack(const configuration::ForwardTenant& tenant, double units) {
  const auto found = usages_.find(tenant.name);
  if (found != usages_.end() && !found->second.slices.empty()) {
    count(found->second, -units);
  }
}

void QuotaMeter::setAllotments(const std::vector<wire::TenantAllotment>& allotments) {
  told_at_ = dispatcher_.now();
  for (auto& [name, usage] : usages_) {
    usage.allotment.reset();
    usage.allotted_total = usage.told_total;
  }
  for (const wire::TenantAllotment& allotment : allotments) {
    Usage& usage = usageOf(allotment.tenant);
    usage.allotment = allotment;
    usage.last_share = allotment.share;
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
    usage.told_total = usage.total;
    const auto admitted = static_cast<float>(std::max(0.0, usage.in_window));
    if (admitted > 0 || usage.demand_per_s >= LeastDemandPerS) {
      demands.push_back({name, static_cast<float>(usage.demand_per_s), admitted});
    }
  }
  return demands;
}

}  // namespace switchsaddle::front
