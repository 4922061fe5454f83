#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/quotas/quota_allocator.h"
#include "switchsaddle/core/quotas/quota_pacer.h"
#include "switchsaddle/core/quotas/unsettled_grants.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/quota_messages.h"

namespace switchsaddle::core {

/**
 * Admits the requests of tenants near their quota, one by one, for all fronts. With many fronts,
 * the shares of the remaining quota are smaller than a single request; a single ledger needs no
 * shares. Handles QuotaRequest.
 *
 * The use of a quota is the use that all fronts report with their session renewals, plus the grants
 * of this ledger that the records do not include yet. Invariant: the ledger decides only while it
 * holds the lease of the tenant's shard, and only after it has held the lease for long enough that
 * the records include its predecessor's grants. Grants are paced by a QuotaPacer for each tenant.
 * Runs on the control strand.
 */
class QuotaLedger {
 public:
  /** When this node gained the lease of the tenant's shard; std::nullopt if it does not hold it. */
  using HeldSince = std::function<std::optional<base::TimePoint>(const std::string& tenant)>;

  /** @param window_s length of the quotas' window, in seconds. */
  QuotaLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls, QuotaAllocator& allocator,
              double window_s, HeldSince held_since);
  QuotaLedger(const QuotaLedger&) = delete;
  QuotaLedger& operator=(const QuotaLedger&) = delete;

  wire::QuotaReply decide(const wire::QuotaRequest& request);

 private:
  struct Tenant {
    UnsettledGrants unsettled;
    QuotaPacer pacer;
  };

  /** Grants or rejects the request by the use of the tenant's quota. */
  void admit(const wire::QuotaRequest& request, const QuotaUse& use, wire::QuotaReply& reply);

  base::Dispatcher& dispatcher_;
  QuotaAllocator& allocator_;
  double window_s_;
  HeldSince held_since_;
  std::map<std::string, Tenant> tenants_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
