#include "switchsaddle/admission/reservation_writer.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace switchsaddle::admission {

ReservationWriter::ReservationWriter(registers::RegisterProposer& proposer, std::uint32_t shard,
                                     ReservationWriterOptions options, ConfirmFunction confirm,
                                     IsAllocatedFunction is_allocated)
    : proposer_(proposer),
      shard_(shard),
      options_(options),
      confirm_(std::move(confirm)),
      is_allocated_(std::move(is_allocated)) {}

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
                   callbacks_.guard([this, term, done = std::move(done)](
                                        const registers::RegisterOutcome& outcome) {
                     if (term == term_) {
                       done(outcome);
                     }
                   }));
}

void ReservationWriter::adopt(const ReservationTable& table) {
  durable_ = table;
  target_ = table;
}

std::vector<QueuedSlotRequest> ReservationWriter::endTerm() {
  std::vector<QueuedSlotRequest> deferred;
  for (PendingGrant& pending : pending_grants_) {
    deferred.push_back(std::move(pending.request));
  }
  pending_grants_.clear();
  writing_ = false;
  term_ = 0;
  return deferred;
}

void ReservationWriter::grant(QueuedSlotRequest request, std::uint32_t slots,
                              std::uint32_t allocated) {
  reserve(request.front(), request.request.branch, allocated);
  if (isReserved(request, slots)) {
    confirm_(request, slots);
    return;
  }
  pending_grants_.push_back(PendingGrant{std::move(request), slots});
  write();
}

void ReservationWriter::remove(const FrontIdentity& front) {
  target_.reserved.erase(front);
}

std::vector<FrontIdentity> ReservationWriter::otherInstances(const FrontIdentity& front) const {
  std::vector<FrontIdentity> instances;
  for (const auto& [known, reservations] : target_.reserved) {
    if (known.address == front.address && known.instance != front.instance) {
      instances.push_back(known);
    }
  }
  return instances;
}

bool ReservationWriter::grantPending(const std::string& branch) const {
  return std::ranges::any_of(pending_grants_, [&branch](const PendingGrant& pending) {
    return pending.request.request.branch == branch;
  });
}

bool ReservationWriter::grantPending(const std::string& branch, const FrontIdentity& front) const {
  return std::ranges::any_of(pending_grants_, [&branch, &front](const PendingGrant& pending) {
    return pending.request.request.branch == branch && pending.request.front() == front;
  });
}

void ReservationWriter::reserve(const FrontIdentity& front, const std::string& branch,
                                std::uint32_t slots) {
  std::uint32_t& reserved = target_.reserved[front][branch];
  if (reserved < slots) {
    const std::uint32_t steps = (slots + options_.reservation_step - 1) / options_.reservation_step;
    reserved = steps * options_.reservation_step;
  }
}

bool ReservationWriter::isReserved(const QueuedSlotRequest& request, std::uint32_t granted) const {
  if (!options_.reserve_before_granting) {
    return true;
  }
  const auto front = durable_.reserved.find(request.front());
  if (front == durable_.reserved.end()) {
    return false;
  }
  const auto branch = front->second.find(request.request.branch);
  return branch != front->second.end() && branch->second >= request.request.allocated + granted;
}

ReservationTable ReservationWriter::tableToWrite() {
  // The write also removes the reservations of fronts without allocated slots.
  for (auto& [front, reservations] : target_.reserved) {
    std::erase_if(reservations, [this, &front = front](const auto& item) {
      return !is_allocated_(front, item.first);
    });
  }
  std::erase_if(target_.reserved, [](const auto& item) { return item.second.empty(); });
  target_.term = term_;
  return target_;
}

void ReservationWriter::removeFromDurable(const ReservationTable& next) {
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
  removeFromDurable(table);
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
                   callbacks_.guard([this, term, table = std::move(table)](
                                        const registers::RegisterOutcome& outcome) {
                     if (term == term_) {
                       onWritten(outcome, table);
                     }
                   }));
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
    const QueuedSlotRequest& request = pending_grant.request;
    if (isReserved(request, pending_grant.slots)) {
      confirm_(request, pending_grant.slots);
    } else if (is_written) {
      pending_grants_.push_back(std::move(pending_grant));
    } else {
      // The register is unavailable: the slots count as allocated until the front reports.
      confirm_(request, 0);
    }
  }
  if (!pending_grants_.empty()) {
    write();
  }
}

}  // namespace switchsaddle::admission
