#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>

#include "switchsaddle/base/byte_budget.h"

namespace switchsaddle::front {

/**
 * What a run holds of its workers' responses: counted beyond a fixed allowance, which every request
 * may use at the same time. Given back on destruction.
 */
class ResponseMemory {
 public:
  /** More than a run holds of an ordinary stream. */
  static constexpr std::size_t UncountedBytes = 16U << 10U;

  /** @param budget null to count nothing. */
  explicit ResponseMemory(std::shared_ptr<base::ByteBudget> budget) {
    if (budget) {
      counted_ = std::make_unique<base::ByteReservation>(std::move(budget));
    }
  }

  /** Holds exactly this many bytes from now on. @return whether there was room for them. */
  bool tryHold(std::size_t bytes) {
    const std::size_t beyond_allowance = bytes - std::min(bytes, UncountedBytes);
    return !counted_ || counted_->tryTo(beyond_allowance);
  }

 private:
  std::unique_ptr<base::ByteReservation> counted_;
};

}  // namespace switchsaddle::front
