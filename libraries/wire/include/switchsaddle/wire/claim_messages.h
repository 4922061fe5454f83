#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Messages of idempotency-key claims, which ensure that a one-shot request runs at most once. A
 * claim is stored in a replicated register; any core node proposes on behalf of a front.
 */

namespace switchsaddle::wire {

/** State of a claim. A key in state NotRun may be claimed again; Ran and Unknown are final. */
enum class ClaimState : std::uint8_t { InFlight, NotRun, Ran, Unknown };

/** Front to core: claims a key before the first byte of the request is sent to a worker. */
struct ClaimBegin {
  std::string tenant;
  std::string idempotency_key;
  /** Hash of the request; a request with another hash under the same key is rejected. */
  std::uint64_t fingerprint = 0;
  /** Unique id of this attempt. */
  std::string run;
  /** Time for which the claim is stored, in seconds (default one day). */
  std::uint32_t lifetime_s = 86400;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, idempotency_key, fingerprint, run, lifetime_s);
  }
};

/** Front to core: records the outcome of an attempt. */
struct ClaimFinish {
  std::string tenant;
  std::string idempotency_key;
  /** Id of the attempt, as in ClaimBegin. */
  std::string run;
  ClaimState state = ClaimState::Unknown;
  std::uint16_t http_status = 0;
  /** Response body, returned for resent requests; only with state Ran. */
  std::string answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, idempotency_key, run, state, http_status, answer);
  }
};

/** Core to front: the claim after ClaimBegin or ClaimFinish. */
struct ClaimReply {
  /** False if no quorum answered; the claim or outcome may or may not have been recorded. */
  bool available = false;
  /** The claim or the outcome of the requesting attempt is recorded. */
  bool recorded = false;
  ClaimState state = ClaimState::Unknown;
  std::uint64_t fingerprint = 0;
  std::string run;
  std::uint16_t http_status = 0;
  std::string answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(available, recorded, state, fingerprint, run, http_status, answer);
  }
};

}  // namespace switchsaddle::wire
