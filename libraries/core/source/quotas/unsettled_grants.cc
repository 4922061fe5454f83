#include "switchsaddle/core/quotas/unsettled_grants.h"

namespace switchsaddle::core {

namespace {

/** How long a grant counts that no record includes. Longer than any quota's window. */
constexpr base::Duration GrantLifetime = std::chrono::seconds(10);

}  // namespace

void UnsettledGrants::add(const wire::QuotaRequest& request, base::TimePoint now) {
  grants_.push_back({request.front, request.instance, request.number, request.units, now});
  units_ += request.units;
}

void UnsettledGrants::removeSettled(const QuotaAllocator& allocator, base::TimePoint now) {
  if (refreshes_ == allocator.refreshes()) {
    return;
  }
  refreshes_ = allocator.refreshes();
  std::erase_if(grants_, [this, &allocator, now](const Grant& grant) {
    const auto settled = allocator.completedRequests(grant.front, grant.instance);
    const bool is_removed =
        (settled && *settled >= grant.number) || now - grant.granted_at > GrantLifetime;
    units_ -= is_removed ? grant.units : 0;
    return is_removed;
  });
}

}  // namespace switchsaddle::core
