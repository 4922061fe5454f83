#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Fleet-wide slots of the share tree, granted to fronts by a limit ledger and recalled when needed.
 */

namespace switchsaddle::wire {

/** Front to ledger: asks for slots of a branch, and tells what it holds and uses. */
struct SlotRequest {
  std::string branch;
  std::uint64_t front_instance = 0;
  base::NodeAddress front;
  std::uint32_t wanted = 0;
  std::uint32_t held = 0;
  std::uint32_t in_use = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(branch, front_instance, front, wanted, held, in_use);
  }
};

/** The ledger's answer. `exhausted` is set only when the ledger knows every slot in use. */
struct SlotReply {
  std::uint32_t granted = 0;
  bool exhausted = false;
  /** False where the node does not hold the ledger's lease. */
  bool is_ledger = true;
  /** Where the ledger is, if known. */
  base::NodeAddress ledger;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted, exhausted, is_ledger, ledger, term);
  }
};

/** Ledger to front: give back idle slots. */
struct SlotRecall {
  std::string branch;
  std::uint32_t wanted = 0;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(branch, wanted, term);
  }
};

/** Front to ledger: slots given back. */
struct SlotReturn {
  std::string branch;
  std::uint64_t front_instance = 0;
  std::uint32_t returned = 0;
  std::uint32_t held = 0;
  std::uint32_t in_use = 0;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(branch, front_instance, returned, held, in_use, term);
  }
};

}  // namespace switchsaddle::wire
