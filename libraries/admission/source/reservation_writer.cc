#include "switchsaddle/admission/reservation_writer.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace switchsaddle::admission {

ReservationWriter::ReservationWriter(registers::RegisterProposer& proposer, std::uint32_t shard,
                                     ReservationWriterOptions options, ConfirmFunction confirm,
                                     HoldsFunction holds)
    : proposer_(proposer),
      shard_(shard),
      options_(options),
      confirm_(std::move(confirm)),
      holds_(std::move(holds)) {}

std::string ReservationWriter::registerKey() const {
  return "ledger/" + std::to_string(shard_);
}

void ReservationWriter::fence(std::uint64_t term, FencedFunction done) {
  term_ = term;
  const auto raise_term = [term](const std::string& present) -> std::optional<std::string> {
    ReservationTable table = decodeReservations(present);
    if (table.term >= term) {
      return std::nullopt;
    }
    table.term = term;
    return encodeReservations(table);
  };
  proposer_.change(registerKey(), raise_term,
                   [this, alive = std::weak_ptr(alive_), term,
                    done = std::move(done)](const registers::RegisterOutcome& outcome) {
                     if (!alive.expired() && term == term_) {
                       done(outcome);
                     }
                   });
}

void ReservationWriter::takeOver(const ReservationTable& table) {
  durable_ = table;
  wanted_ = table;
}

std::vector<QueuedSlotRequest> ReservationWriter::endTerm() {
  std::vector<QueuedSlotRequest> held_back;
  for (PendingGrant& pending : pending_grants_) {
    held_back.push_back(std::move(pending.waiting));
  }
  pending_grants_.clear();
  writing_ = false;
  term_ = 0;
  return held_back;
}

void ReservationWriter::grant(QueuedSlotRequest waiting, std::uint32_t slots, std::uint32_t held) {
  reserve(waiting.front(), waiting.request.branch, held);
  if (isReserved(waiting, slots)) {
    confirm_(waiting, slots);
    return;
  }
  pending_grants_.push_back(PendingGrant{std::move(waiting), slots});
  write();
}

void ReservationWriter::forget(const FrontIdentity& front) {
  wanted_.reserved.erase(front);
}

std::vector<FrontIdentity> ReservationWriter::otherInstances(const FrontIdentity& front) const {
  std::vector<FrontIdentity> others;
  for (const auto& [known, reservations] : wanted_.reserved) {
    if (known.address == front.address && known.instance != front.instance) {
      others.push_back(known);
    }
  }
  return others;
}

bool ReservationWriter::grantPending(const std::string& branch) const {
  return std::ranges::any_of(pending_grants_, [&branch](const PendingGrant& pending) {
    return pending.waiting.request.branch == branch;
  });
}

bool ReservationWriter::grantPending(const std::string& branch, const FrontIdentity& front) const {
  return std::ranges::any_of(pending_grants_, [&branch, &front](const PendingGrant& pending) {
    return pending.waiting.request.branch == branch && pending.waiting.front() == front;
  });
}

void ReservationWriter::reserve(const FrontIdentity& front, const std::string& branch,
                                std::uint32_t slots) {
  std::uint32_t& reserved = wanted_.reserved[front][branch];
  if (reserved < slots) {
    const std::uint32_t steps = (slots + options_.reservation_step - 1) / options_.reservation_step;
    reserved = steps * options_.reservation_step;
  }
}

bool ReservationWriter::isReserved(const QueuedSlotRequest& waiting, std::uint32_t granted) const {
  if (!options_.reserve_before_granting) {
    return true;
  }
  const auto front = durable_.reserved.find(waiting.front());
  if (front == durable_.reserved.end()) {
    return false;
  }
  const auto branch = front->second.find(waiting.request.branch);
  return branch != front->second.end() && branch->second >= waiting.request.held + granted;
}

ReservationTable ReservationWriter::tableToWrite() {
  // Bounds of fronts which hold nothing any more are taken out with the next write.
  for (auto& [front, reservations] : wanted_.reserved) {
    std::erase_if(reservations,
                  [this, &front = front](const auto& item) { return !holds_(front, item.first); });
  }
  std::erase_if(wanted_.reserved, [](const auto& item) { return item.second.empty(); });
  wanted_.term = term_;
  return wanted_;
}

void ReservationWriter::stopRelyingOnRemoved(const ReservationTable& next) {
  std::erase_if(durable_.reserved,
                [&next](const auto& item) { return !next.reserved.contains(item.first); });
  for (auto& [front, reservations] : durable_.reserved) {
    const BranchReservations& kept = next.reserved.at(front);
    std::erase_if(reservations, [&kept](const auto& item) { return !kept.contains(item.first); });
  }
}

void ReservationWriter::write() {
  if (writing_) {
    return;
  }
  writing_ = true;
  ReservationTable table = tableToWrite();
  stopRelyingOnRemoved(table);
  const std::string bytes = encodeReservations(table);
  const std::uint64_t term = term_;
  const auto change = [term, bytes, fenced = options_.fence_by_term](
                          const std::string& present) -> std::optional<std::string> {
    if (fenced && decodeReservations(present).term > term) {
      return std::nullopt;
    }
    return bytes;
  };
  proposer_.change(registerKey(), change,
                   [this, alive = std::weak_ptr(alive_), term,
                    table = std::move(table)](const registers::RegisterOutcome& outcome) {
                     if (!alive.expired() && term == term_) {
                       onWritten(outcome, table);
                     }
                   });
}

void ReservationWriter::onWritten(const registers::RegisterOutcome& outcome,
                                  const ReservationTable& written) {
  writing_ = false;
  const bool is_written = outcome.code == base::ResultCode::Ok && outcome.changed;
  if (is_written) {
    durable_ = written;
  }
  std::vector<PendingGrant> pending;
  pending.swap(pending_grants_);
  for (PendingGrant& pending_grant : pending) {
    const QueuedSlotRequest& waiting = pending_grant.waiting;
    if (isReserved(waiting, pending_grant.slots)) {
      confirm_(waiting, pending_grant.slots);
    } else if (is_written) {
      pending_grants_.push_back(std::move(pending_grant));
    } else {
      // The register did not answer: the slots stay counted as held until the front tells
      // otherwise.
      confirm_(waiting, 0);
    }
  }
  if (!pending_grants_.empty()) {
    write();
  }
}

}  // namespace switchsaddle::admission
