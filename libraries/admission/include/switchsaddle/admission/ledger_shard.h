#pragma once

#include <cstdint>
#include <string>

namespace switchsaddle::admission {

/** Ledgers the branches are divided among; each is a lease of its own, so that they spread over the
 * core. */
inline constexpr std::uint32_t LedgerShards = 4;

/** The shard whose ledger keeps a branch. */
std::uint32_t ledgerShardOf(const std::string& branch);

/** The lease of a shard's ledger: "limit-ledger/K". */
std::string ledgerLeaseName(std::uint32_t shard);

}  // namespace switchsaddle::admission
