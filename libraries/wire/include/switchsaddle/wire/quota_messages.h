#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Messages by which the quota ledger admits a front's requests one by one while little of a
 * tenant's quota remains.
 */

namespace switchsaddle::wire {

/** Front to ledger: requests the admission of one request. */
struct QuotaRequest {
  std::string tenant;
  /** Cost of the request in units of the quota. */
  float units = 0;
  /** Urgency class of the request's route; 0 is the most urgent. */
  std::uint8_t urgency = 0;
  base::NodeAddress front;
  /** Random instance id of the front process. */
  std::uint64_t instance = 0;
  /** Increases with each request of the front; see SessionRecord::completed_requests. */
  std::uint64_t number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, units, urgency, front, instance, number);
  }
};

/** Ledger to front: reply to QuotaRequest. */
struct QuotaReply {
  /** False if the addressed node does not hold the lease of the tenant's ledger. */
  bool is_ledger = false;
  /** False if the ledger can't decide, since some fronts have not reported their admissions. */
  bool known = false;
  bool granted = false;
  /** Delay before a new request may succeed; only in a rejection. */
  std::uint32_t retry_after_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_ledger, known, granted, retry_after_ms);
  }
};

}  // namespace switchsaddle::wire
