#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::admission {

/**
 * Locates the ledger of each shard for a front, and records the highest term seen of it. Tries the
 * cores in turn until one serves the shard. Runs on the control strand.
 */
class LedgerLocator {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;

  explicit LedgerLocator(CoreAddresses core_addresses)
      : core_addresses_(std::move(core_addresses)) {}

  /** @return the presumed address of the shard's ledger; empty if no core is known. */
  base::NodeAddress addressOf(std::uint32_t shard);
  /** Records that the presumed address was wrong.
   * @param redirect the ledger's address according to the reply; may be empty. */
  void reject(std::uint32_t shard, const base::NodeAddress& redirect);
  /** Records a term. @return whether it is at least as high as those seen before. */
  bool observeTerm(std::uint32_t shard, std::uint64_t term);
  /** @return the highest term seen of each ledger, by shard. */
  std::map<std::uint32_t, std::uint64_t> terms() const;

 private:
  struct Shard {
    base::NodeAddress ledger;
    std::size_t next_core = 0;
    std::uint64_t term = 0;
  };

  CoreAddresses core_addresses_;
  std::map<std::uint32_t, Shard> shards_;
};

}  // namespace switchsaddle::admission
