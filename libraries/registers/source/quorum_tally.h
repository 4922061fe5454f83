#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "switchsaddle/wire/register_messages.h"

namespace switchsaddle::registers {

/**
 * Counts the answers to one request against an acceptor set: while `previous` is not empty, a
 * quorum is a majority of both lists. An answer counts only for the member whose instance gave it.
 * At most one of grant() and fail() is called for each address.
 */
class QuorumTally {
 public:
  /** @param quorum_size replaces the majority where not zero; for tests only. */
  explicit QuorumTally(const wire::AcceptorSet& set, std::size_t quorum_size = 0);
  void grant(const base::NodeAddress& address, std::uint64_t instance);
  void fail(const base::NodeAddress& address);
  bool reached() const;
  /** Whether no further answers can make a quorum. */
  bool impossible() const;

 private:
  struct Count {
    std::vector<wire::AcceptorMember> members;
    std::size_t needed = 0;
    std::size_t granted = 0;
    std::size_t failed = 0;
  };
  std::vector<Count> counts_;
};

}  // namespace switchsaddle::registers
