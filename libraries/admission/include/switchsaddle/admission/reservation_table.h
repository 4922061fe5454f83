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

/** Upper bounds of what one front may hold, by branch. */
using BranchReservations = std::map<std::string, std::uint32_t>;

/**
 * What a ledger keeps in a replicated register: an upper bound of the slots each front may hold. A
 * ledger raises a bound before it grants beyond it, so that its successor never grants a slot which
 * a silent front still uses.
 */
struct ReservationTable {
  /** Term of the ledger that wrote it; a ledger of an older term may not write any more. */
  std::uint64_t term = 0;
  std::map<FrontIdentity, BranchReservations> reserved;
};

std::string encodeReservations(const ReservationTable& table);
/** An empty string decodes to an empty table. Throws base::Error with RecordCorrupt. */
ReservationTable decodeReservations(const std::string& bytes);

}  // namespace switchsaddle::admission
