#include "switchsaddle/core/unsettled_grants.h"

namespace switchsaddle::core {

namespace {

/** A grant that no record includes counts for this time: longer than any quota's window. */
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
    const bool is_over =
        (settled && *settled >= grant.number) || now - grant.granted_at > GrantLifetime;
    units_ -= is_over ? grant.units : 0;
    return is_over;
  });
}

}  // namespace switchsaddle::core
