#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/quota_allocator.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/quota_messages.h"

namespace switchsaddle::core {

/**
 * Lets requests of tenants in that are near their quota, one by one, for all fronts. Many fronts
 * that divide what is left come to parts below a single request; one node that decides needs no
 * parts.
 *
 * What counts as used is what all fronts tell with their renewals, and besides what was granted
 * here and does not stand in them yet: a grant counts by itself until a record of its front tells
 * that it is settled. Decides only while it holds the lease of the tenant's shard, and only once it
 * has held it for so long that what its predecessor granted stands in the records.
 *
 * Grants are paced: units flow into a small bucket at the rate that fills the quota's window, so
 * that a tenant that asks for too much is let in evenly and not at once for a second and then for
 * seconds not at all. A request is let in while the bucket, and what is left of the window, are
 * above what is kept for the more urgent; its units may bring both below, so that large requests
 * fare as small ones do. A share of each urgency is let in whatever the more urgent ask for, so
 * that none starves. Runs on the control strand.
 */
class QuotaLedger {
 public:
  /** When this node's lease of a tenant's shard was gained; nothing where it holds none. */
  using HeldSince = std::function<std::optional<base::TimePoint>(const std::string& tenant)>;

  QuotaLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls, QuotaAllocator& allocator,
              double window_s, HeldSince held_since);

  wire::QuotaReply decide(const wire::QuotaRequest& ask);

 private:
  static constexpr std::size_t Urgencies = 10;
  /** Granted, and not known to stand in the front's record. */
  struct Pending {
    base::NodeAddress front;
    std::uint64_t instance = 0;
    std::uint64_t number = 0;
    double units = 0;
    base::TimePoint granted_at;
  };
  /** Units of one urgency, with a half life. */
  struct Flow {
    double asked = 0;
    double granted = 0;
    /** Requests asked for, with the same half life. */
    double requests = 0;
  };
  struct Tenant {
    std::deque<Pending> pending;
    double pending_units = 0;
    /** QuotaAllocator::refreshes() when settled grants were last taken out. */
    std::uint64_t settled_at_refresh = 0;
    std::array<Flow, Urgencies> flows;
    base::TimePoint decayed_at;
    /** Units that may be let in now, and since when they flow in; below zero after a large request.
     */
    double bucket = 0;
    base::TimePoint filled_at;
  };

  void removeSettled(Tenant& tenant);
  void decay(Tenant& tenant) const;
  void fill(Tenant& tenant, double units_per_s) const;
  /** Units to be left for the more urgent. */
  double reserveFor(const Tenant& tenant, std::size_t urgency, double most) const;

  base::Dispatcher& dispatcher_;
  QuotaAllocator& allocator_;
  double window_s_;
  HeldSince held_since_;
  std::map<std::string, Tenant> tenants_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::core
