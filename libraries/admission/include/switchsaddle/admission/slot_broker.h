#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::admission {

/** One slot of a branch in use; its destruction releases the slot to this front's pool. */
class SlotPermit {
 public:
  virtual ~SlotPermit() = default;
};

using SlotPermitPtr = std::unique_ptr<SlotPermit>;

/** A slot, or the reason why there is none: OverBranchLimit, LimitsUnavailable or QueueFull. */
struct SlotOutcome {
  base::ResultCode code = base::ResultCode::LimitsUnavailable;
  /** Null unless the code is Ok. */
  SlotPermitPtr permit;
  /** Recommended delay before a retry, in milliseconds. */
  std::uint32_t retry_after_ms = 1'000;
};

/**
 * Allocates the fleet-wide slots of the share tree to requests on one front. A slot counts against
 * the branch and each of its ancestors. Runs on the control strand.
 */
class SlotBroker {
 public:
  virtual ~SlotBroker() = default;
  /**
   * Acquires a slot of a branch.
   *
   * @param callback called once; before acquire() returns if this front has an idle slot.
   */
  virtual void acquire(const std::string& branch, std::function<void(SlotOutcome)> callback) = 0;
};

}  // namespace switchsaddle::admission
