#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/admission/branch_table.h"
#include "switchsaddle/admission/front_recaller.h"
#include "switchsaddle/admission/queued_slot_request.h"
#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/admission/reservation_writer.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::admission {

/** The lease under which a ledger serves. */
class LedgerLease {
 public:
  virtual ~LedgerLease() = default;
  /** @return whether the lease is held now according to the clock. */
  virtual bool held() const = 0;
  virtual std::uint64_t term() const = 0;
};

/** Times and mechanisms of a slot ledger. */
struct SlotLedgerOptions {
  /** Time-out of the reply to a recall. */
  base::Duration recall_timeout = std::chrono::milliseconds(200);
  /** A report older than this does not prove that slots are in use. */
  base::Duration evidence_age = std::chrono::milliseconds(100);
  /**
   * Slots of a front whose process has ended stay allocated for this time: its one-shots run to
   * their end, and workers detect closed streams only with their next chunk.
   */
  base::Duration ended_front_time = std::chrono::seconds(1);
  /**
   * Slots of an unresponsive front stay allocated for this time, or for the longest time of a
   * request plus a margin if that is longer.
   */
  base::Duration unresponsive_timeout = std::chrono::seconds(330);
  /** Reservations are multiples of this, so that most grants need no write of the register. */
  std::uint32_t reservation_step = 8;
  /** Test-only switches, which show that a mechanism is needed. */
  bool reserve_before_granting = true;
  bool order_by_sequence = true;
  bool recall_before_rejecting = true;
  /** After a takeover a front's request counts only once the front has replied to a recall. */
  bool confirm_after_takeover = true;
  bool fence_by_term = true;
  /** Delay before a ledger that could not fence its register retries. */
  base::Duration fence_retry_delay = std::chrono::milliseconds(100);
};

/**
 * The limit ledger of one shard on a core node: while it holds the shard's lease, it alone grants
 * the slots of the shard's branches.
 *
 * Invariant: for each branch the slots counted as allocated are at least those allocated to fronts,
 * and grants stay below the branch's limit, so that all fronts together never exceed it. The slots
 * of a front are bounded by a reservation in a register before they are granted; a successor starts
 * from the reservations. Runs on the control strand.
 */
class SlotLedger {
 public:
  SlotLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
             registers::RegisterProposer& proposer, LedgerLease& lease, std::uint32_t shard,
             SlotLedgerOptions options);
  SlotLedger(const SlotLedger&) = delete;
  SlotLedger& operator=(const SlotLedger&) = delete;

  /** Sets the limits in force, by branch; those of other shards are ignored. */
  void setLimits(BranchTable::Limits limits);
  /** Sets the longest time for which the configuration lets a request use its slot. The largest
   * value set so far counts. */
  void setLongestUse(base::Duration longest_use);
  /** The lease was gained: fences earlier ledgers, reads the reservations, recalls the fronts. */
  void onLeaseGained();
  void onLeaseLost();
  void onRequest(const wire::SlotRequest& request, transport::ReplyFunction reply_to);
  bool serving() const;
  /** @return the slots of a branch allocated to fronts; at least those in use. */
  std::uint32_t allocatedSlots(const std::string& branch) const {
    return branches_.allocatedSlots(branch);
  }

 private:
  void fence();
  void onFenced(const registers::RegisterOutcome& outcome);
  void adopt(const ReservationTable& table);
  void rejectAll();

  /** Requests a report of all branches; without effect if the front does not reply. */
  void requestReport(const FrontIdentity& front);
  void applyRecall(const FrontIdentity& front, const std::string& branch, RecallOutcome outcome,
                   const wire::SlotReport& report);
  void queryOtherInstances(const FrontIdentity& front);
  void dropFront(const FrontIdentity& front);

  /** Records the allocation that the request reports, and queues the request. */
  void acceptRequest(const QueuedSlotRequest& queued);
  void replyToEarlierRequests(const FrontIdentity& front, BranchState& state);
  void serveQueue(const std::string& branch);
  /** Grants free slots to the first request of the queue. */
  void grantFirst(const std::string& branch);
  void reply(const QueuedSlotRequest& queued, std::uint32_t granted, bool exhausted) const;

  std::vector<FrontIdentity> frontsToRecall(const std::string& branch);
  void startRecall(const std::string& branch);
  void recall(const std::string& branch, const FrontIdentity& front);
  void finishRecall(const std::string& branch);
  /** Rejects the requests that the finished recall covered. */
  void rejectRecalled(const std::string& branch);
  /** @return the time after which no request of an unresponsive front can still run. */
  base::Duration unresponsiveTimeout() const;

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  LedgerLease& lease_;
  std::uint32_t shard_;
  SlotLedgerOptions options_;
  BranchTable branches_;
  base::Duration longest_use_{};
  FrontRecaller recaller_;
  ReservationWriter reservations_;
  bool serving_ = false;
  /** The term under which this ledger serves; 0 between terms. */
  std::uint64_t term_ = 0;
  base::TimerPtr fence_timer_;
};

}  // namespace switchsaddle::admission
