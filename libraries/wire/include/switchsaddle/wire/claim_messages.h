#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Claims of one-shot keys. A claim is a register; any core node proposes for a front.
 */

namespace switchsaddle::wire {

/** The state of a claim. NotRun may be claimed anew; Ran and Unknown are final. */
enum class ClaimState : std::uint8_t { InFlight, NotRun, Ran, Unknown };

/** Front to core: claim the key before any byte goes to a worker. */
struct ClaimBegin {
  std::string tenant;
  std::string idempotency_key;
  /** Hash of the request; another request under the same key is refused. */
  std::uint64_t fingerprint = 0;
  /** Unique name of this attempt. */
  std::string run;
  std::uint32_t lifetime_s = 86400;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, idempotency_key, fingerprint, run, lifetime_s);
  }
};

/** Front to core: records how the attempt ended. */
struct ClaimFinish {
  std::string tenant;
  std::string idempotency_key;
  std::string run;
  ClaimState state = ClaimState::Unknown;
  std::uint16_t http_status = 0;
  /** The recorded answer body for resends; only with state Ran. */
  std::string answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, idempotency_key, run, state, http_status, answer);
  }
};

/** The claim as it now stands. */
struct ClaimReply {
  /** False where no quorum answered; the attempt may or may not be recorded. */
  bool available = false;
  /** The claim or the finish of this very run is recorded. */
  bool won = false;
  ClaimState state = ClaimState::Unknown;
  std::uint64_t fingerprint = 0;
  std::string run;
  std::uint16_t http_status = 0;
  std::string answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(available, won, state, fingerprint, run, http_status, answer);
  }
};

}  // namespace switchsaddle::wire
