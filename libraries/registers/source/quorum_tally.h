#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "switchsaddle/wire/register_messages.h"

namespace switchsaddle::registers {

/**
 * Counts the answers of an acceptor set's members to one request. If `previous` is not empty, a
 * quorum needs a majority of each list. A grant counts only if the member's instance sent it.
 * At most one of grant() and fail() is called for each address.
 */
class QuorumTally {
 public:
  /** @param quorum_size number of votes for a quorum; a majority if zero. For tests only. */
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
