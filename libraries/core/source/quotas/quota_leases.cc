#include "switchsaddle/core/quotas/quota_leases.h"

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::core {

QuotaLeases::QuotaLeases(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                         base::RandomSource& random, lease::GranterSet& granters,
                         lease::LeaseTimes times, std::uint64_t instance)
    : shards_(admission::LedgerShards) {
  for (std::uint32_t number = 0; number < admission::LedgerShards; ++number) {
    Shard& shard = shards_[number];
    shard.name = "quota-ledger/" + std::to_string(number);
    shard.holder = std::make_unique<lease::LeaseHolder>(dispatcher, calls, random, times,
                                                        shard.name, granters, instance);
    shard.holder->setListener([&dispatcher, &shard](bool gained) {
      if (gained) {
        shard.gained_at = dispatcher.now();
      }
    });
  }
}

void QuotaLeases::setCampaigning(bool campaigning) {
  if (campaigning == campaigning_) {
    return;
  }
  campaigning_ = campaigning;
  for (const Shard& shard : shards_) {
    if (campaigning) {
      shard.holder->start();
    } else {
      shard.holder->stop();
    }
  }
}

std::optional<base::TimePoint> QuotaLeases::heldSince(const std::string& tenant) const {
  const Shard& shard = shards_[admission::ledgerShardOf(tenant)];
  return shard.holder->held() ? std::optional(shard.gained_at) : std::nullopt;
}

void QuotaLeases::appendStatus(std::vector<LeaseStatus>& leases) const {
  for (const Shard& shard : shards_) {
    leases.push_back({shard.name, shard.holder->held(), shard.holder->term()});
  }
}

}  // namespace switchsaddle::core
