#include "switchsaddle/core/quota_allocator.h"

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
constexpr base::Duration UnresponsiveRetention = std::chrono::seconds(60);
/** Part that is divided equally, for demand that moves from front to front. */
constexpr double EqualShare = 0.3;
/** Fronts are told of a tenant from this part of its quota on, with what it asks for in so many
 * seconds counted in. */
constexpr double MuchUsed = 0.4;
constexpr double SoonS = 1.0;

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

bool QuotaAllocator::muchUsed(const std::string& tenant, const Total& total) const {
  const std::optional<double> limit = limitOf(tenant);
  const double soon_used = total.admitted + total.units_per_s * SoonS;
  return limit && soon_used >= *limit * MuchUsed;
}

void QuotaAllocator::refresh() {
  const base::TimePoint now = dispatcher_.now();
  if (refreshed_ && now - refreshed_at_ < RefreshInterval) {
    return;
  }
  refreshed_ = true;
  ++refreshes_;
  refreshed_at_ = now;
  updateFronts();
  const bool young = receiving_since_ && now - *receiving_since_ < window();
  if (young && nobodyMissing()) {
    receiving_since_ = now - window();
  }
  std::erase_if(fronts_, [now](const auto& item) {
    return now - item.second.last_seen > UnresponsiveRetention;
  });
  totals_.clear();
  for (const auto& [key, front] : fronts_) {
    const bool live = front.last_seen == now;
    if (refreshed_at_ - front.last_seen > UseRemembered) {
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

base::Duration QuotaAllocator::window() const {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(bounds_.window_s));
}

void QuotaAllocator::updateFronts() {
  live_ = 0;
  young_ = 0;
  const std::int64_t window_ms = base::toMilliseconds(window());
  records_([this, window_ms](const wire::SessionRecord& record) {
    ++live_;
    young_ += record.fleet_knowledge.age_ms < window_ms ? 1 : 0;
    Front& front = fronts_[FrontKey{record.front, record.instance}];
    front.last_seen = refreshed_at_;
    front.demand = record.demand;
    front.fleet_knowledge = record.fleet_knowledge;
    front.settled_requests = record.settled_requests;
  });
}

bool QuotaAllocator::nobodyMissing() const {
  if (live_ == 0 || young_ > 0) {
    return false;
  }
  std::set<base::NodeAddress> heard;
  for (const auto& [key, front] : fronts_) {
    if (front.last_seen == refreshed_at_) {
      heard.insert(key.first);
    }
  }
  const std::uint64_t digest = sessions::digestOfFronts(heard);
  return std::ranges::all_of(fronts_, [this, digest](const auto& item) {
    const Front& front = item.second;
    return front.last_seen != refreshed_at_ || front.fleet_knowledge.fronts_digest == digest;
  });
}

std::map<std::string, double> QuotaAllocator::admittedBy(const FrontKey& key) const {
  std::map<std::string, double> admitted;
  const auto front = fronts_.find(key);
  const bool counted =
      front != fronts_.end() && refreshed_at_ - front->second.last_seen <= UseRemembered;
  if (counted) {
    for (const wire::TenantDemand& demand : front->second.demand) {
      admitted[demand.tenant] = demand.admitted;
    }
  }
  return admitted;
}

void QuotaAllocator::countCutOff() {
  std::set<base::NodeAddress> live;
  std::set<base::NodeAddress> all;
  for (const auto& [key, front] : fronts_) {
    all.insert(key.first);
    if (front.last_seen == refreshed_at_) {
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

bool QuotaAllocator::knowsAll() {
  const base::TimePoint now = dispatcher_.now();
  if (!receiving_since_) {
    receiving_since_ = now;
  }
  refresh();
  return now - *receiving_since_ >= window();
}

std::optional<QuotaUse> QuotaAllocator::useOf(const std::string& tenant) {
  const std::optional<double> limit = limitOf(tenant);
  const bool knows = knowsAll();
  if (!limit || (!knows && !mostFrontsAreYoung())) {
    return std::nullopt;
  }
  const double unknown = knows ? 0 : unknownShare() * *limit * configuration::UsedShareOfQuota;
  const auto total = totals_.find(tenant);
  const double admitted = total == totals_.end() ? 0 : total->second.admitted;
  return QuotaUse{*limit, admitted + unknown};
}

bool QuotaAllocator::hasQuotas() const {
  return view_ && std::ranges::any_of(view_->forwarding.tenants, [this](const auto& item) {
           return bounds_.limitOf(item.second).has_value();
         });
}

bool QuotaAllocator::mayDecide() {
  return hasQuotas() && (knowsAll() || mostFrontsAreYoung());
}

double QuotaAllocator::unknownShare() const {
  const double heard_s =
      std::chrono::duration<double>(dispatcher_.now() - *receiving_since_).count();
  const double left_of_window = std::max(0.0, 1 - heard_s / bounds_.window_s);
  const auto live = static_cast<double>(std::max<std::size_t>(1, live_));
  return left_of_window * static_cast<double>(young_) / live;
}

std::optional<std::uint64_t> QuotaAllocator::settledRequests(const base::NodeAddress& front,
                                                             std::uint64_t instance) const {
  const auto found = fronts_.find(FrontKey{front, instance});
  return found == fronts_.end() ? std::nullopt : std::optional(found->second.settled_requests);
}

std::optional<std::vector<wire::TenantAllocation>> QuotaAllocator::allocate(
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
  std::vector<wire::TenantAllocation> allocations;
  for (const auto& [tenant, total] : totals_) {
    if (!muchUsed(tenant, total)) {
      continue;
    }
    const wire::TenantDemand& asked = own[tenant];
    const double by_demand =
        total.units_per_s > 0 ? std::min(1.0, asked.units_per_s / total.units_per_s) : 1 / live;
    const double share = (1 - EqualShare) * by_demand + EqualShare / live;
    // What this very record tells goes before what was added up a moment ago.
    const auto before = counted.find(tenant);
    const double newer = asked.admitted - (before == counted.end() ? 0 : before->second);
    allocations.push_back({tenant, static_cast<float>(share), static_cast<float>(total.units_per_s),
                           static_cast<float>(total.admitted + newer)});
  }
  return allocations;
}

}  // namespace switchsaddle::core
