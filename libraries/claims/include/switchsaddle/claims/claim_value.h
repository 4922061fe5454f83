#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/claim_messages.h"

namespace switchsaddle::claims {

/** The value of the register of one claim. */
struct ClaimValue {
  wire::ClaimState state = wire::ClaimState::InFlight;
  /** Hash of the request that claimed the key. */
  std::uint64_t fingerprint = 0;
  /** The run that owns or ended the claim. */
  std::string run;
  std::uint16_t http_status = 0;
  /** The recorded response; empty unless the state is Ran. */
  std::string answer;
  /** Lifetime of the claim in seconds. */
  std::uint32_t lifetime_s = 0;
};

/** @return the register key of a claim, distinct for each pair of tenant and idempotency key. */
std::string claimKey(const std::string& tenant, const std::string& idempotency_key);

/**
 * @return how long an acceptor keeps the register of a claim: the claim's lifetime plus a margin
 * for runs that began just before its end; std::nullopt for other registers.
 */
std::optional<base::Duration> claimLifetime(const std::string& key, const std::string& value);

std::string encodeClaim(const ClaimValue& value);

/**
 * Reverses encodeClaim().
 *
 * @throws base::Error with RecordCorrupt.
 */
ClaimValue decodeClaim(const std::string& bytes);

}  // namespace switchsaddle::claims
