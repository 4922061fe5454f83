#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * What is left of a tenant's quota, taken from the quota ledger request by request where it is
 * little.
 */

namespace switchsaddle::wire {

/** Front to ledger: may this request be let in? */
struct QuotaRequest {
  std::string tenant;
  float units = 0;
  /** Of the request's route; 0 is the most urgent. */
  std::uint8_t urgency = 0;
  base::NodeAddress front;
  /** The front process's random instance id. */
  std::uint64_t instance = 0;
  /** Rises with each ask of the front; its records tell up to which all are settled. */
  std::uint64_t number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, units, urgency, front, instance, number);
  }
};

/** The ledger's answer. */
struct QuotaReply {
  /** False where the asked node does not hold the lease of the tenant's ledger. */
  bool is_ledger = false;
  /** False where the ledger can't tell, since it does not know what all fronts let in. */
  bool known = false;
  bool granted = false;
  /** When asking again is worthwhile; only of a refusal. */
  std::uint32_t retry_after_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_ledger, known, granted, retry_after_ms);
  }
};

}  // namespace switchsaddle::wire
