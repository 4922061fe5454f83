#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/admission/ledger_shard.h"
#include "switchsaddle/admission/slot_ledger.h"
#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/lease/lease_holder.h"

namespace switchsaddle::core {

/**
 * The limit ledgers of a core node: for each shard the lease and the ledger that grants slots under
 * it. Routes SlotRequest to the ledger of the branch's shard. Runs on the control strand.
 */
class LedgerHost {
 public:
  LedgerHost(base::Dispatcher& dispatcher, transport::PeerCalls& calls, base::RandomSource& random,
             registers::RegisterProposer& proposer, lease::GranterSet& granters,
             lease::LeaseTimes times, std::uint64_t instance);
  LedgerHost(const LedgerHost&) = delete;
  LedgerHost& operator=(const LedgerHost&) = delete;

  /** Campaigns for the leases. */
  void start();
  /** Releases the leases and stops campaigning. */
  void stop();
  /** Sets the limits of the configuration in force. */
  void setConfiguration(const configuration::View& view);
  void appendStatus(std::vector<LeaseStatus>& leases) const;

 private:
  /** Adapts one shard's lease to the interface of its ledger. */
  class ShardLease : public admission::LedgerLease {
   public:
    explicit ShardLease(const lease::LeaseHolder& holder) : holder_(holder) {}
    bool held() const override { return holder_.held(); }
    std::uint64_t term() const override { return holder_.term(); }

   private:
    const lease::LeaseHolder& holder_;
  };
  struct Shard {
    std::string name;
    std::unique_ptr<lease::LeaseHolder> holder;
    std::unique_ptr<ShardLease> lease;
    std::unique_ptr<admission::SlotLedger> ledger;
  };

  std::vector<Shard> shards_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
