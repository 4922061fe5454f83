#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::admission {

/** The front process a reservation belongs to. */
struct FrontIdentity {
  base::NodeAddress address;
  std::uint64_t instance = 0;

  auto operator<=>(const FrontIdentity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, instance);
  }
};

/** Upper bounds of the slots allocated to one front, by branch. */
using BranchReservations = std::map<std::string, std::uint32_t>;

/**
 * The value of a ledger's replicated register: upper bounds of the slots allocated to each front. A
 * ledger raises a bound before it grants beyond it, so that its successor never grants a slot that
 * an unresponsive front still uses.
 */
struct ReservationTable {
  /** Fencing token: the term of the ledger that wrote it. Ledgers of older terms may not write. */
  std::uint64_t term = 0;
  std::map<FrontIdentity, BranchReservations> reserved;
};

std::string encodeReservations(const ReservationTable& table);
/**
 * Reverses encodeReservations(); an empty string decodes to an empty table.
 *
 * @throws base::Error with RecordCorrupt.
 */
ReservationTable decodeReservations(const std::string& bytes);

}  // namespace switchsaddle::admission
