#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/lease/lease_holder.h"

namespace switchsaddle::core {

/**
 * The leases under which quota ledgers decide, one for each shard of the tenants. They are separate
 * from those of the slot ledgers, since a core without the records of the last window may manage
 * slots but must not decide on quotas. Runs on the control strand.
 */
class QuotaLeases {
 public:
  QuotaLeases(base::Dispatcher& dispatcher, transport::PeerCalls& calls, base::RandomSource& random,
              lease::GranterSet& granters, lease::LeaseTimes times, std::uint64_t instance);
  QuotaLeases(const QuotaLeases&) = delete;
  QuotaLeases& operator=(const QuotaLeases&) = delete;

  /** Campaigns for the leases, or releases them. No effect if already in that state. */
  void setCampaigning(bool campaigning);
  /** @return when the lease of the tenant's shard was gained; std::nullopt if not held. */
  std::optional<base::TimePoint> heldSince(const std::string& tenant) const;
  void appendStatus(std::vector<LeaseStatus>& leases) const;

 private:
  struct Shard {
    std::string name;
    std::unique_ptr<lease::LeaseHolder> holder;
    /** When the lease was last gained, or its term raised. */
    base::TimePoint gained_at;
  };

  std::vector<Shard> shards_;
  bool campaigning_ = false;
};

}  // namespace switchsaddle::core
