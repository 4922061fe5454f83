#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/admission/queued_slot_request.h"
#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::admission {

/** Options of the reservations; see SlotLedgerOptions. */
struct ReservationWriterOptions {
  /** Reservations are multiples of this, so that most grants need no write of the register. */
  std::uint32_t reservation_step = 8;
  /** Test-only switches, which show that a mechanism is needed. */
  bool reserve_before_granting = true;
  bool fence_by_term = true;
};

/**
 * Writes the reservations of one shard to its register for the ledger that serves it, and defers
 * the grants whose reservation is not written yet. Invariants: at most one write is in flight; a
 * grant is confirmed only once the register contains a reservation that covers it; nothing is
 * written or confirmed for a term that has ended. Runs on the control strand.
 */
class ReservationWriter {
 public:
  /** Receives the register's value once it contains the term, or the failure. */
  using FencedFunction = std::function<void(const registers::RegisterOutcome&)>;
  /** Receives the slots granted to a request; 0 if the register is unavailable. */
  using ConfirmFunction = std::function<void(const QueuedSlotRequest&, std::uint32_t granted)>;
  /** Whether slots of a branch are still allocated to a front. */
  using IsAllocatedFunction = std::function<bool(const FrontIdentity&, const std::string& branch)>;

  ReservationWriter(registers::RegisterProposer& proposer, std::uint32_t shard,
                    ReservationWriterOptions options, ConfirmFunction confirm,
                    IsAllocatedFunction is_allocated);

  /** Writes the term to the register as the fencing token, so that earlier ledgers cannot write. */
  void fence(std::uint64_t term, FencedFunction done);
  /** Starts from the value that the register had when it was fenced. */
  void adopt(const ReservationTable& table);
  /** Ends the term. @return the requests whose grants were deferred. */
  std::vector<QueuedSlotRequest> endTerm();

  /**
   * Confirms a grant, once the register contains a reservation that covers it.
   *
   * @param allocated the front's slots including the grant.
   */
  void grant(QueuedSlotRequest request, std::uint32_t slots, std::uint32_t allocated);
  /** Removes a front's reservations with the next write. */
  void remove(const FrontIdentity& front);
  /** @return other instances with reservations at the front's address. */
  std::vector<FrontIdentity> otherInstances(const FrontIdentity& front) const;
  /** @return whether a grant of the branch waits for its reservation. */
  bool grantPending(const std::string& branch) const;
  bool grantPending(const std::string& branch, const FrontIdentity& front) const;

 private:
  struct PendingGrant {
    QueuedSlotRequest request;
    std::uint32_t slots = 0;
  };

  void reserve(const FrontIdentity& front, const std::string& branch, std::uint32_t slots);
  bool isReserved(const QueuedSlotRequest& request, std::uint32_t granted) const;
  void write();
  void onWritten(const registers::RegisterOutcome& outcome, const ReservationTable& written);
  ReservationTable tableToWrite();
  /** A write in flight may remove these reservations, so no grant may depend on them any more. */
  void removeFromDurable(const ReservationTable& next);
  std::string registerKey() const;

  registers::RegisterProposer& proposer_;
  std::uint32_t shard_;
  ReservationWriterOptions options_;
  ConfirmFunction confirm_;
  IsAllocatedFunction is_allocated_;
  /** The reservations that the register is known to contain. */
  ReservationTable durable_;
  /** The reservations to be written; they differ from `durable_` while a write is due or in flight.
   */
  ReservationTable target_;
  std::vector<PendingGrant> pending_grants_;
  bool writing_ = false;
  /** 0 between terms. */
  std::uint64_t term_ = 0;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::admission
