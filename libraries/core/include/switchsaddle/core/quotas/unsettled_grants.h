#pragma once

#include <cstdint>
#include <deque>

#include "switchsaddle/core/quotas/quota_allocator.h"
#include "switchsaddle/wire/quota_messages.h"

namespace switchsaddle::core {

/**
 * The grants of one tenant's quota that the session records of their fronts do not include as far
 * as this core can tell. Runs on the control strand.
 */
class UnsettledGrants {
 public:
  void add(const wire::QuotaRequest& request, base::TimePoint now);
  /** Removes the grants that the records now include, and those that have expired. */
  void removeSettled(const QuotaAllocator& allocator, base::TimePoint now);
  double units() const { return units_; }

 private:
  struct Grant {
    base::NodeAddress front;
    std::uint64_t instance = 0;
    std::uint64_t number = 0;
    double units = 0;
    base::TimePoint granted_at;
  };

  std::deque<Grant> grants_;
  /** The sum over all grants. */
  double units_ = 0;
  /** QuotaAllocator::refreshes() at the last removal. */
  std::uint64_t refreshes_ = 0;
};

}  // namespace switchsaddle::core
