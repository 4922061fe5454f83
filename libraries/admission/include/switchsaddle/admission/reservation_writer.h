#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/admission/queued_slot_request.h"
#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::admission {

/** How a ledger reserves; SlotLedgerOptions carries the same. */
struct ReservationWriterOptions {
  /** Reservations grow in steps of this, so that most grants need no register write. */
  std::uint32_t reservation_step = 8;
  /** Each of these is off only in tests which show what it is for. */
  bool reserve_before_granting = true;
  bool fence_by_term = true;
};

/**
 * Keeps the reservations of one shard in its register for the ledger that serves it, and holds back
 * the grants whose reservation is not written yet. Invariants: one write is under way at most; a
 * grant is confirmed only once the register holds a reservation that covers it; nothing is written
 * or confirmed for a term that has ended. Runs on the control strand.
 */
class ReservationWriter {
 public:
  /** Told the table found once the register carries the term, or why it does not. */
  using FencedFunction = std::function<void(const registers::RegisterOutcome&)>;
  /** Told how many slots a held back request is granted; 0 where the register did not answer. */
  using ConfirmFunction = std::function<void(const QueuedSlotRequest&, std::uint32_t granted)>;
  /** Whether a front still counts as allocation slots of a branch. */
  using HoldsFunction = std::function<bool(const FrontIdentity&, const std::string& branch)>;

  ReservationWriter(registers::RegisterProposer& proposer, std::uint32_t shard,
                    ReservationWriterOptions options, ConfirmFunction confirm, HoldsFunction holds);

  /** Writes the term into the register, so that no earlier ledger writes any more. */
  void fence(std::uint64_t term, FencedFunction done);
  /** Starts from what the register held when it was fenced. */
  void takeOver(const ReservationTable& table);
  /** Ends the term; returns the requests whose grants were held back. */
  std::vector<QueuedSlotRequest> endTerm();

  /** Grants now where the reservation stands, else once it has been raised to `held` and written.
   */
  void grant(QueuedSlotRequest waiting, std::uint32_t slots, std::uint32_t held);
  /** Takes a front's reservations out with the next write. */
  void forget(const FrontIdentity& front);
  /** Other instances with reservations at the front's address. */
  std::vector<FrontIdentity> otherInstances(const FrontIdentity& front) const;
  bool grantPending(const std::string& branch) const;
  bool grantPending(const std::string& branch, const FrontIdentity& front) const;

 private:
  struct PendingGrant {
    QueuedSlotRequest waiting;
    std::uint32_t slots = 0;
  };

  void reserve(const FrontIdentity& front, const std::string& branch, std::uint32_t slots);
  bool isReserved(const QueuedSlotRequest& waiting, std::uint32_t granted) const;
  void write();
  void onWritten(const registers::RegisterOutcome& outcome, const ReservationTable& written);
  ReservationTable tableToWrite();
  void stopRelyingOnRemoved(const ReservationTable& next);
  std::string registerKey() const;

  registers::RegisterProposer& proposer_;
  std::uint32_t shard_;
  ReservationWriterOptions options_;
  ConfirmFunction confirm_;
  HoldsFunction holds_;
  /** The reservations known to be in the register. */
  ReservationTable durable_;
  /** What is to be in it; differs while a write is wanted or under way. */
  ReservationTable wanted_;
  std::vector<PendingGrant> pending_grants_;
  bool writing_ = false;
  /** 0 between terms. */
  std::uint64_t term_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::admission
