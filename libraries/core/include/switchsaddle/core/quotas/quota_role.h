#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/core/membership/core_membership.h"
#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/core/quotas/quota_allocator.h"
#include "switchsaddle/core/quotas/quota_leases.h"
#include "switchsaddle/core/quotas/quota_ledger.h"

namespace switchsaddle::core {

/**
 * The singleton roles of the quota ledgers, one for each shard of the tenants: the leases and the
 * ledger that decides under them. Runs on the control strand.
 */
class QuotaRole {
 public:
  /** @param incarnation identifies this process among the candidates for the leases. */
  QuotaRole(const CoreEnvironment& environment, CoreMembership& membership,
            std::uint64_t incarnation, QuotaAllocator& allocator);
  QuotaRole(const QuotaRole&) = delete;
  QuotaRole& operator=(const QuotaRole&) = delete;

  /**
   * Campaigns for the leases, or releases them. A core campaigns only while
   * QuotaAllocator::mayDecide().
   *
   * @param is_member whether this node is an active member of the acceptor set.
   */
  void setMember(bool is_member);
  void appendStatus(std::vector<LeaseStatus>& leases) const { leases_.appendStatus(leases); }

 private:
  QuotaAllocator& allocator_;
  QuotaLeases leases_;
  QuotaLedger ledger_;
};

}  // namespace switchsaddle::core
