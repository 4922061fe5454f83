#include "switchsaddle/core/quotas/fleet_demand.h"

#include <algorithm>
#include <set>

#include "switchsaddle/sessions/address_digest.h"

namespace switchsaddle::core {

namespace {

/** How long the units admitted by an unresponsive front count. At least the longest quota window.
 */
constexpr base::Duration AdmittedRetention = std::chrono::seconds(10);
/** How long an unresponsive front's equal share is reserved, since it may be partitioned. */
constexpr base::Duration UnresponsiveRetention = std::chrono::seconds(60);

}  // namespace

void FleetDemand::update(const RecordSource& records, base::Duration window, base::TimePoint now) {
  updated_at_ = now;
  live_ = 0;
  recently_started_ = 0;
  const std::int64_t window_ms = base::toMilliseconds(window);
  records([this, window_ms](const wire::SessionRecord& record) {
    ++live_;
    recently_started_ += record.fleet_knowledge.age_ms < window_ms ? 1 : 0;
    Front& front = fronts_[FrontKey{record.front, record.instance}];
    front.last_seen = updated_at_;
    front.demand = record.demand;
    front.fleet_knowledge = record.fleet_knowledge;
    front.completed_requests = record.completed_requests;
  });
}

void FleetDemand::aggregate(const LimitOf& limit_of) {
  std::erase_if(fronts_, [this](const auto& item) {
    return updated_at_ - item.second.last_seen > UnresponsiveRetention;
  });
  sumReported();
  addPartitioned(limit_of);
}

bool FleetDemand::countsAsAdmitted(const Front& front) const {
  return updated_at_ - front.last_seen <= AdmittedRetention;
}

void FleetDemand::sumReported() {
  totals_.clear();
  for (const auto& [key, front] : fronts_) {
    if (!countsAsAdmitted(front)) {
      continue;
    }
    for (const wire::TenantDemand& demand : front.demand) {
      TenantTotal& total = totals_[demand.tenant];
      total.units_per_s += isLive(front) ? demand.units_per_s : 0;
      total.admitted += demand.admitted;
    }
  }
}

void FleetDemand::addPartitioned(const LimitOf& limit_of) {
  std::set<base::NodeAddress> counted;
  std::set<base::NodeAddress> all;
  for (const auto& [key, front] : fronts_) {
    all.insert(key.first);
    if (isLive(front)) {
      counted.insert(key.first);
    }
  }
  for (const auto& [key, front] : fronts_) {
    // Each address counts once, since at most one of the processes there serves.
    if (!counted.insert(key.first).second) {
      continue;
    }
    const std::map<std::string, double> admitted = admittedBy(key);
    for (auto& [tenant, total] : totals_) {
      const double equal_share = limit_of(tenant).value_or(0) / static_cast<double>(all.size());
      const auto reported = admitted.find(tenant);
      total.admitted +=
          std::max(0.0, equal_share - (reported == admitted.end() ? 0 : reported->second));
    }
  }
}

bool FleetDemand::allFrontsKnown() const {
  if (live_ == 0 || recently_started_ > 0) {
    return false;
  }
  std::set<base::NodeAddress> live;
  for (const auto& [key, front] : fronts_) {
    if (isLive(front)) {
      live.insert(key.first);
    }
  }
  const std::uint64_t digest = sessions::digestOfFronts(live);
  return std::ranges::all_of(fronts_, [this, digest](const auto& item) {
    const Front& front = item.second;
    return !isLive(front) || front.fleet_knowledge.fronts_digest == digest;
  });
}

std::map<std::string, double> FleetDemand::admittedBy(const FrontKey& key) const {
  std::map<std::string, double> admitted;
  const auto front = fronts_.find(key);
  if (front != fronts_.end() && countsAsAdmitted(front->second)) {
    for (const wire::TenantDemand& demand : front->second.demand) {
      admitted[demand.tenant] = demand.admitted;
    }
  }
  return admitted;
}

std::optional<std::uint64_t> FleetDemand::completedRequests(const FrontKey& key) const {
  const auto front = fronts_.find(key);
  return front == fronts_.end() ? std::nullopt : std::optional(front->second.completed_requests);
}

}  // namespace switchsaddle::core
