#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/admission/ledger_locator.h"
#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/admission_messages.h"

namespace switchsaddle::admission {

/** Time-outs and limits of a front's broker. */
struct SlotBrokerOptions {
  /** Time after which a queued request fails with LimitsUnavailable. */
  base::Duration acquire_deadline = std::chrono::milliseconds(1'500);
  /** Time-out of a call to a core node: above the ledger's recall time-out. */
  base::Duration call_timeout = std::chrono::milliseconds(400);
  /** Idle slots are released after this time. */
  base::Duration idle_timeout = std::chrono::milliseconds(50);
  /** Maximum of requests queued for slots of one branch. */
  std::size_t queue_limit = 256;
  /** Delay before the next core is tried after one that does not serve the ledger. */
  base::Duration retry_delay = std::chrono::milliseconds(50);
  /** Idle slots older than this are not used, since the front may have been frozen. */
  base::Duration idle_validity = std::chrono::seconds(5);
  /** Test-only switches, which show that a mechanism is needed. */
  bool check_terms = true;
  bool check_sequences = true;
};

/**
 * Slot broker of a front: pools the slots that the ledgers granted and issues them to requests.
 *
 * Each message of the front about a branch has a sequence number. Invariant: a grant counts only
 * while no later message was sent and no newer term was seen, so that the ledger never counts fewer
 * slots than are in use here. At most one request about a branch is in flight. Runs on the control
 * strand.
 */
class LedgerSlotBroker : public SlotBroker {
 public:
  using CoreAddresses = LedgerLocator::CoreAddresses;

  /** @param core_addresses returns the addresses of the cores that are known now. */
  LedgerSlotBroker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                   std::uint64_t front_instance, CoreAddresses core_addresses,
                   SlotBrokerOptions options);
  LedgerSlotBroker(const LedgerSlotBroker&) = delete;
  LedgerSlotBroker& operator=(const LedgerSlotBroker&) = delete;

  void acquire(const std::string& branch, std::function<void(SlotOutcome)> callback) override;
  std::uint32_t inUse(const std::string& branch) const;
  /** The slots of one branch that are allocated to this front, and those of them in use. */
  struct Allocation {
    std::string branch;
    std::uint32_t allocated = 0;
    std::uint32_t in_use = 0;
  };
  std::vector<Allocation> allocations() const;
  /** @return the highest term seen of each ledger, by shard. */
  std::map<std::uint32_t, std::uint64_t> ledgerTerms() const { return locator_.terms(); }

 private:
  class Permit;
  /** A queued acquire(). */
  struct Waiter {
    std::function<void(SlotOutcome)> callback;
    base::TimePoint deadline;
    /** Sequence of the last message before it arrived: only later ones can include it. */
    std::uint64_t after_sequence = 0;
  };
  struct BranchPool {
    std::uint64_t sequence = 0;
    /** When the latest message was sent. */
    base::TimePoint sent_at{};
    std::uint32_t allocated = 0;
    /** Idle slots that the request in flight releases. */
    std::uint32_t offered = 0;
    std::uint32_t in_use = 0;
    std::deque<Waiter> queue;
    bool request_in_flight = false;
    base::TimerPtr deadline_timer;
    base::TimerPtr retry_timer;
    base::TimerPtr idle_timer;
  };

  BranchPool& pool(const std::string& branch);
  /** @return whether a slot can be issued without a request to the ledger. */
  bool hasValidIdle(const BranchPool& pool) const;
  SlotPermitPtr issuePermit(const std::string& branch, BranchPool& pool);
  void release(const std::string& branch);
  void serveQueue(const std::string& branch);
  /** Rejects the waiters that the request with the sequence included. */
  void rejectRequested(const std::string& branch, std::uint64_t sequence);
  void expireWaiters(const std::string& branch);

  /** Requests slots for the queue and releases idle ones, unless a request is in flight. */
  void sendRequest(const std::string& branch);
  wire::SlotRequest nextRequest(const std::string& branch, BranchPool& pool);
  void onResult(const std::string& branch, std::uint64_t sequence,
                const transport::CallResult& result);
  /** Handles a request that no ledger has answered. */
  void onNoLedger(const std::string& branch, std::uint64_t sequence,
                  const transport::CallResult& result);
  void onLedgerReply(const std::string& branch, std::uint64_t sequence,
                     const wire::SlotReply& reply);
  /** The request in flight reached no ledger, so its idle slots are still allocated. */
  void restoreOffered(const std::string& branch);

  void onRecall(const wire::SlotRecall& recall, const transport::ReplyFunction& reply);
  /** Releases the idle slots and invalidates the reply in flight. */
  wire::SlotAllocation recallBranch(const std::string& branch, BranchPool& pool);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  std::uint64_t front_instance_;
  SlotBrokerOptions options_;
  LedgerLocator locator_;
  std::map<std::string, BranchPool> pools_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::admission
