#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::admission {

/** One slot of a branch in use; destroying it gives the slot back to this front's pool. */
class SlotPermit {
 public:
  virtual ~SlotPermit() = default;
};

using SlotPermitPtr = std::unique_ptr<SlotPermit>;

/** Either a slot, or why there is none: OverBranchLimit (proven full) or LimitsUnavailable. */
struct SlotOutcome {
  base::ResultCode code = base::ResultCode::LimitsUnavailable;
  SlotPermitPtr hold;
  /** When asking again is worthwhile, in milliseconds. */
  std::uint32_t retry_after_ms = 1'000;
};

/**
 * Hands out the fleet-wide slots of the share tree to requests on one front. A slot counts against
 * the branch and each of its ancestors. Where this front has an idle slot the callback runs before
 * acquire() returns; else the branch's ledger is asked.
 */
class SlotBroker {
 public:
  virtual ~SlotBroker() = default;
  virtual void acquire(const std::string& branch, std::function<void(SlotOutcome)> callback) = 0;
};

}  // namespace switchsaddle::admission
