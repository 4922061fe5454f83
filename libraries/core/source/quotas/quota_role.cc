#include "switchsaddle/core/quotas/quota_role.h"

#include "node/core_options.h"

namespace switchsaddle::core {

QuotaRole::QuotaRole(const CoreEnvironment& environment, CoreMembership& membership,
                     std::uint64_t incarnation, QuotaAllocator& allocator)
    : allocator_(allocator),
      leases_(environment.dispatcher, environment.calls, environment.random, membership,
              shortLeaseTimesOf(environment.settings.times), incarnation),
      ledger_(environment.dispatcher, environment.calls, allocator,
              environment.settings.forwarding.quotas.window_s,
              [this](const std::string& tenant) { return leases_.heldSince(tenant); }) {}

void QuotaRole::setMember(bool is_member) {
  leases_.setCampaigning(is_member && allocator_.mayDecide());
}

}  // namespace switchsaddle::core
