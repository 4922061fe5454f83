#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::admission {

/** Times and bounds of a front's broker. */
struct SlotBrokerOptions {
  /** How long a request may wait for the ledger before it is refused with LimitsUnavailable. */
  base::Duration acquire_deadline = std::chrono::milliseconds(1'500);
  /** How long one call to a core node may take: above the ledger's recall timeout. */
  base::Duration call_timeout = std::chrono::milliseconds(400);
  /** Idle slots are given back after this. */
  base::Duration idle_time = std::chrono::milliseconds(50);
  /** Requests waiting for slots of one branch; more are refused at once. */
  std::size_t waiting_limit = 256;
  /** Pause before another node is asked after one did not know the ledger. */
  base::Duration retry_pause = std::chrono::milliseconds(50);
  /** Idle slots asked for longer ago are not handed out: the front may have been frozen. */
  base::Duration idle_validity = std::chrono::seconds(5);
  /** Each of these is off only in tests which show what it is for. */
  bool check_terms = true;
  bool check_sequences = true;
};

/**
 * The front's side of the share tree: holds slots granted by the ledgers and hands them to
 * requests. All it tells of a branch is numbered, and a grant counts only while nothing later was
 * told and no newer term was heard of; so the ledger never counts fewer slots than are in use here.
 * One message about a branch is under way at a time. Runs on the control strand.
 */
class LedgerSlotBroker : public SlotBroker {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;

  LedgerSlotBroker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                   std::uint64_t front_instance, CoreAddresses core_addresses,
                   SlotBrokerOptions options);
  ~LedgerSlotBroker() override;

  void acquire(const std::string& branch, std::function<void(SlotOutcome)> callback) override;
  std::uint32_t inUse(const std::string& branch) const;
  /** The slots held of one branch, and how many of them are in use. */
  struct Allocation {
    std::string branch;
    std::uint32_t held = 0;
    std::uint32_t in_use = 0;
  };
  std::vector<Allocation> allocations() const;
  /** The highest term heard of for each ledger, by shard. */
  std::map<std::uint32_t, std::uint64_t> ledgerTerms() const;

 private:
  class Hold;
  struct Waiter {
    std::function<void(SlotOutcome)> callback;
    base::TimePoint deadline;
    /** Sequence of the last message before it came: only a later one can have asked for it. */
    std::uint64_t after_sequence = 0;
  };
  struct BranchPool {
    std::uint64_t sequence = 0;
    /** When the latest message was sent. */
    base::TimePoint sent_at{};
    std::uint32_t held = 0;
    /** Idle slots which the message under way gives back. */
    std::uint32_t offered = 0;
    std::uint32_t in_use = 0;
    std::deque<Waiter> waiting;
    bool asking = false;
    /** Fires for the earliest waiter's deadline, a retry, or idle slots to be given back. */
    base::TimerPtr deadline_timer;
    base::TimerPtr retry_timer;
    base::TimerPtr idle_timer;
  };

  BranchPool& pool(const std::string& branch);
  SlotPermitPtr take(const std::string& branch, BranchPool& pool);
  void release(const std::string& branch);
  void serveWaiting(const std::string& branch);
  void rejectRequested(const std::string& branch, std::uint64_t sequence);
  /** The message under way reached no ledger, so its idle slots are still this front's. */
  void keepOffered(const std::string& branch);
  bool hasIdle(const BranchPool& pool) const;
  void expireWaiting(const std::string& branch);
  void ask(const std::string& branch);
  void onReply(const std::string& branch, std::uint64_t sequence,
               const transport::CallResult& result);
  void onRecall(const wire::SlotRecall& recall, const transport::ReplyFunction& reply);
  wire::SlotAllocation recallBranch(const std::string& branch, BranchPool& pool);
  base::NodeAddress ledgerAddress(std::uint32_t shard);
  void selectNextCore(std::uint32_t shard);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  std::uint64_t front_instance_;
  CoreAddresses core_addresses_;
  SlotBrokerOptions options_;
  std::map<std::string, BranchPool> pools_;
  /** By shard: the node believed to keep the ledger, and the highest term heard of. */
  struct ShardState {
    base::NodeAddress ledger;
    std::size_t next_core = 0;
    std::uint64_t term = 0;
  };
  std::map<std::uint32_t, ShardState> shards_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::admission
