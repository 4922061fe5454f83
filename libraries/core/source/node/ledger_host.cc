#include "switchsaddle/core/node/ledger_host.h"

#include <algorithm>
#include <map>
#include <utility>

namespace switchsaddle::core {

LedgerHost::LedgerHost(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                       base::RandomSource& random, registers::RegisterProposer& proposer,
                       lease::GranterSet& granters, lease::LeaseTimes times,
                       std::uint64_t instance) {
  for (std::uint32_t number = 0; number < admission::LedgerShards; ++number) {
    Shard shard;
    shard.name = admission::ledgerLeaseName(number);
    shard.holder = std::make_unique<lease::LeaseHolder>(dispatcher, calls, random, times,
                                                        shard.name, granters, instance);
    shard.lease = std::make_unique<ShardLease>(*shard.holder);
    shard.ledger = std::make_unique<admission::SlotLedger>(
        dispatcher, calls, proposer, *shard.lease, number, admission::SlotLedgerOptions{});
    shard.holder->setListener([ledger = shard.ledger.get()](bool gained) {
      if (gained) {
        ledger->onLeaseGained();
      } else {
        ledger->onLeaseLost();
      }
    });
    shards_.push_back(std::move(shard));
  }
  calls.handle<wire::SlotRequest>(
      callbacks_.guard([this](const base::NodeAddress& /*from*/, const wire::SlotRequest& request,
                              transport::ReplyFunction reply) {
        const std::uint32_t number = admission::ledgerShardOf(request.branch);
        shards_[number].ledger->onRequest(request, std::move(reply));
      }));
}

void LedgerHost::start() {
  for (const Shard& shard : shards_) {
    shard.holder->start();
  }
}

void LedgerHost::stop() {
  for (const Shard& shard : shards_) {
    shard.holder->stop();
  }
}

void LedgerHost::setConfiguration(const configuration::View& view) {
  std::map<std::string, std::uint32_t> limits;
  for (const auto& [path, branch] : view.branches) {
    limits[path] = branch.slots;
  }
  std::uint32_t longest_ms = 0;
  for (const auto& [name, tenant] : view.tenants) {
    longest_ms =
        std::max({longest_ms, tenant.shape.stream_deadline_ms, tenant.shape.one_shot_deadline_ms});
  }
  for (const Shard& shard : shards_) {
    shard.ledger->setLongestUse(std::chrono::milliseconds(longest_ms));
    shard.ledger->setLimits(limits);
  }
}

void LedgerHost::appendStatus(std::vector<LeaseStatus>& leases) const {
  for (const Shard& shard : shards_) {
    leases.push_back({shard.name, shard.holder->held(), shard.holder->term()});
  }
}

}  // namespace switchsaddle::core
