#pragma once

#include <cstdint>
#include <string>

namespace switchsaddle::admission {

/** Number of ledgers that share the branches; each has its own lease, to spread them over cores. */
inline constexpr std::uint32_t LedgerShards = 4;

/** @return the shard whose ledger manages the branch. */
std::uint32_t ledgerShardOf(const std::string& branch);

/** @return the name of the lease of a shard's ledger: "limit-ledger/K". */
std::string ledgerLeaseName(std::uint32_t shard);

}  // namespace switchsaddle::admission
