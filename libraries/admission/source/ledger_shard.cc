#include "switchsaddle/admission/ledger_shard.h"

#include "switchsaddle/base/hash.h"

namespace switchsaddle::admission {

std::uint32_t ledgerShardOf(const std::string& branch) {
  return static_cast<std::uint32_t>(base::hashBytes(branch) % LedgerShards);
}

std::string ledgerLeaseName(std::uint32_t shard) {
  return "limit-ledger/" + std::to_string(shard);
}

}  // namespace switchsaddle::admission
