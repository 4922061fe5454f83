#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/admission/branch_allocations.h"
#include "switchsaddle/admission/queued_slot_request.h"
#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/admission/reservation_writer.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::admission {

/** The lease a ledger acts under. */
class LedgerLease {
 public:
  virtual ~LedgerLease() = default;
  /** Evaluated against the clock at this very moment. */
  virtual bool held() const = 0;
  virtual std::uint64_t term() const = 0;
};

/** Times and steps of a slot ledger. */
struct SlotLedgerOptions {
  /** How long a front may take to answer a recall before it counts as silent. */
  base::Duration recall_timeout = std::chrono::milliseconds(200);
  /** What a front told longer ago does not prove that its slots are in use. */
  base::Duration evidence_age = std::chrono::milliseconds(100);
  /**
   * Slots of a front whose process has ended count as held for this long: its one-shots run to
   * their end, and workers notice closed streams with their next piece.
   */
  base::Duration ended_front_time = std::chrono::seconds(1);
  /** A front silent for this long, and for longer than any request may last, holds nothing. */
  base::Duration unresponsive_timeout = std::chrono::seconds(330);
  /** Reservations grow in steps of this, so that most grants need no register write. */
  std::uint32_t reservation_step = 8;
  /** Each of these is off only in tests which show what it is for. */
  bool reserve_before_granting = true;
  bool order_by_sequence = true;
  bool recall_before_refusing = true;
  /** After a takeover a front's own request is not believed before a recall was answered. */
  bool confirm_after_takeover = true;
  bool fence_by_term = true;
  /** Pause before a ledger that could not fence its register tries again. */
  base::Duration fence_pause = std::chrono::milliseconds(100);
};

/**
 * The limit ledger of one shard on a core node: it alone grants the slots of the shard's branches
 * while it holds the shard's lease. Invariant: for each branch the slots it counts as held by
 * fronts are at least those held, and it grants only below the branch's limit; so all fronts
 * together never exceed it. What a front may hold is bounded in a register before it is granted,
 * which a successor starts from. Runs on the control strand.
 */
class SlotLedger {
 public:
  SlotLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
             registers::RegisterProposer& proposer, LedgerLease& lease, std::uint32_t shard,
             SlotLedgerOptions options);

  /** The limits in force, by branch; those of other shards are ignored. */
  void setLimits(std::map<std::string, std::uint32_t> limits);
  /** How long a request may keep its slot by the configuration; the longest one told counts. */
  void setLongestUse(base::Duration longest_use);
  /** The lease was won: fences earlier ledgers, reads the reservations, and asks the fronts. */
  void onLeaseGained();
  void onLeaseLost();
  void onRequest(const wire::SlotRequest& request, transport::ReplyFunction reply);
  bool serving() const;
  /** Slots counted as held, for status; at least those in use. */
  std::uint32_t allocatedSlots(const std::string& branch) const;

 private:
  struct BranchState {
    BranchAllocations allocations;
    std::deque<QueuedSlotRequest> waiting;
    bool recalling = false;
    std::uint32_t recalls_open = 0;
  };

  void fence();
  void onFenced(const registers::RegisterOutcome& outcome);
  void takeOver(const ReservationTable& table);
  void requestReport(const FrontIdentity& front);
  void noteReport(const FrontIdentity& front, const wire::SlotReport& report,
                  const std::string& branch);
  void noteReportOf(const std::string& branch, BranchState& state, const FrontIdentity& front,
                    const wire::SlotReport& report);
  void queryOtherInstances(const FrontIdentity& front);
  bool isStale(const Allocation& allocation, std::uint64_t sequence) const;
  void answerEarlierRequests(const FrontIdentity& front, BranchState& state);
  void renewWaiting(const FrontIdentity& front, BranchState& state,
                    const wire::SlotAllocation& told);
  std::vector<FrontIdentity> frontsToRecall(const std::string& branch) const;
  void recall(const std::string& branch, const FrontIdentity& front);
  void refuseNotServing();
  void dropFront(const FrontIdentity& front);
  void serveWaiting(const std::string& branch);
  std::uint32_t freeSlots(const std::string& branch) const;
  void grant(const std::string& branch, QueuedSlotRequest waiting, std::uint32_t slots);
  void answer(const QueuedSlotRequest& waiting, std::uint32_t granted, bool exhausted) const;
  void startRecall(const std::string& branch);
  void finishRecall(const std::string& branch);
  bool allKnownInUse(const std::string& branch) const;
  /** A front silent for longer holds nothing: no request lasts that long. */
  base::Duration unresponsiveTimeout() const;

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  LedgerLease& lease_;
  std::uint32_t shard_;
  SlotLedgerOptions options_;
  std::map<std::string, std::uint32_t> limits_;
  std::map<std::string, BranchState> branches_;
  base::Duration longest_use_{};
  ReservationWriter reservations_;
  bool serving_ = false;
  /** The term this ledger serves under; 0 where it does not. */
  std::uint64_t term_ = 0;
  base::TimerPtr fence_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::admission
