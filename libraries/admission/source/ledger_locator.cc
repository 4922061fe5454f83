#include "switchsaddle/admission/ledger_locator.h"

#include <algorithm>

namespace switchsaddle::admission {

base::NodeAddress LedgerLocator::addressOf(std::uint32_t shard) {
  Shard& state = shards_[shard];
  if (state.ledger.empty()) {
    const std::vector<base::NodeAddress> cores = core_addresses_();
    if (!cores.empty()) {
      state.ledger = cores[(state.next_core + shard) % cores.size()];
    }
  }
  return state.ledger;
}

void LedgerLocator::reject(std::uint32_t shard, const base::NodeAddress& redirect) {
  Shard& state = shards_[shard];
  state.ledger = redirect;
  ++state.next_core;
}

bool LedgerLocator::observeTerm(std::uint32_t shard, std::uint64_t term) {
  Shard& state = shards_[shard];
  const bool is_current = term >= state.term;
  state.term = std::max(state.term, term);
  return is_current;
}

std::map<std::uint32_t, std::uint64_t> LedgerLocator::terms() const {
  std::map<std::uint32_t, std::uint64_t> terms;
  for (const auto& [shard, state] : shards_) {
    terms[shard] = state.term;
  }
  return terms;
}

}  // namespace switchsaddle::admission
