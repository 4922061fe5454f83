#include "switchsaddle/core/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "switchsaddle/configuration/quota_share.h"

namespace switchsaddle::core {

namespace {

/** By then what a predecessor granted stands in the records of the fronts, or never will. */
constexpr base::Duration TakeoverPause = std::chrono::milliseconds(700);
/** A grant whose front never tells of it counts for so long: above any quota's window. */
constexpr base::Duration PendingLifetime = std::chrono::seconds(10);
/** Half life of what is asked for and granted, in seconds. */
constexpr double FlowHalfLifeS = 2.0;
/** The bucket holds what flows into it in this time, in seconds. */
constexpr double BucketTimeS = 0.5;
/** What the more urgent are expected to ask for within this time is left to them, in seconds. */
constexpr double ReserveTimeS = 0.25;
/** Part of the bucket that is left to the more urgent at most. */
constexpr double MostReserved = 0.8;
/** Of each urgency so much of the part that is let in of all is let in before the more urgent are
 * thought of. */
constexpr double LeastGranted = 0.4;
/** Records tell of units for some 0.2 s after these have left the window; so much more is let in.
 */
constexpr double StaleShare = 1.05;
/** A window that is not set counts as so long, in seconds. */
constexpr double ShortestWindowS = 1;
constexpr double ShortestWaitMs = 200;
constexpr double LongestWaitMs = 2'000;

double seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

QuotaLedger::QuotaLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                         QuotaAllocator& allocator, double window_s, HeldSince held_since)
    : dispatcher_(dispatcher),
      allocator_(allocator),
      window_s_(window_s),
      held_since_(std::move(held_since)) {
  calls.handle<wire::QuotaRequest>(
      [this, alive = std::weak_ptr(alive_)](const base::NodeAddress& /*from*/,
                                            const wire::QuotaRequest& ask,
                                            const transport::ReplyFunction& reply) {
        if (!alive.expired()) {
          reply(decide(ask));
        }
      });
}

void QuotaLedger::removeSettled(Tenant& tenant) {
  if (tenant.settled_at_refresh == allocator_.refreshes()) {
    return;
  }
  tenant.settled_at_refresh = allocator_.refreshes();
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(tenant.pending, [this, &tenant, now](const Pending& pending) {
    const auto settled = allocator_.settledRequests(pending.front, pending.instance);
    const bool over =
        (settled && *settled >= pending.number) || now - pending.granted_at > PendingLifetime;
    tenant.pending_units -= over ? pending.units : 0;
    return over;
  });
}

void QuotaLedger::decay(Tenant& tenant) const {
  const base::TimePoint now = dispatcher_.now();
  const double kept = std::exp2(-seconds(now - tenant.decayed_at) / FlowHalfLifeS);
  tenant.decayed_at = now;
  for (Flow& flow : tenant.flows) {
    flow.asked *= kept;
    flow.granted *= kept;
    flow.requests *= kept;
  }
}

void QuotaLedger::fill(Tenant& tenant, double units_per_s) const {
  const base::TimePoint now = dispatcher_.now();
  tenant.bucket = std::min(tenant.bucket + seconds(now - tenant.filled_at) * units_per_s,
                           units_per_s * BucketTimeS);
  tenant.filled_at = now;
}

double QuotaLedger::reserveFor(const Tenant& tenant, std::size_t urgency, double most) const {
  Flow all;
  for (const Flow& flow : tenant.flows) {
    all.asked += flow.asked;
    all.granted += flow.granted;
  }
  const Flow& own = tenant.flows[urgency];
  if (own.granted * all.asked < own.asked * all.granted * LeastGranted) {
    return 0;
  }
  // What decays with this half life is the rate times half life / ln 2.
  constexpr double SecondsHeld = FlowHalfLifeS / 0.693;
  double more_urgent = 0;
  for (std::size_t index = 0; index < urgency; ++index) {
    more_urgent += tenant.flows[index].asked;
  }
  if (more_urgent <= 0) {
    return 0;
  }
  // A request may bring the room below zero; the more urgent are not to wait until it is above
  // again.
  const double mean_units = own.requests > 0 ? own.asked / own.requests : 0;
  return std::min(more_urgent / SecondsHeld * ReserveTimeS + mean_units, most);
}

wire::QuotaReply QuotaLedger::decide(const wire::QuotaRequest& ask) {
  wire::QuotaReply answer;
  const std::optional<base::TimePoint> held_since = held_since_(ask.tenant);
  answer.is_ledger = held_since.has_value();
  if (!held_since || dispatcher_.now() - *held_since < TakeoverPause) {
    return answer;
  }
  const std::optional<QuotaUse> use = allocator_.useOf(ask.tenant);
  if (!use) {
    // Its configuration may be older than the front's.
    return answer;
  }
  answer.known = true;
  Tenant& tenant = tenants_[ask.tenant];
  removeSettled(tenant);
  decay(tenant);
  const std::size_t urgency = std::min<std::size_t>(ask.urgency, Urgencies - 1);
  const double limit = use->limit * configuration::UsedShareOfQuota * StaleShare;
  const double units_per_s = limit / std::max(ShortestWindowS, window_s_);
  fill(tenant, units_per_s);
  const double left = limit - use->admitted - tenant.pending_units;
  const double room = std::min(left, tenant.bucket);
  const double reserve = reserveFor(tenant, urgency, units_per_s * BucketTimeS * MostReserved);
  tenant.flows[urgency].asked += ask.units;
  tenant.flows[urgency].requests += 1;
  answer.granted = room > reserve;
  if (answer.granted) {
    tenant.bucket -= ask.units;
    tenant.flows[urgency].granted += ask.units;
    tenant.pending.push_back({ask.front, ask.instance, ask.number, ask.units, dispatcher_.now()});
    tenant.pending_units += ask.units;
    return answer;
  }
  constexpr double MillisecondsPerSecond = 1'000;
  const double wait_ms =
      (ask.units + reserve - room) / std::max(1.0, units_per_s) * MillisecondsPerSecond;
  answer.retry_after_ms =
      static_cast<std::uint32_t>(std::clamp(wait_ms, ShortestWaitMs, LongestWaitMs));
  return answer;
}

}  // namespace switchsaddle::core
