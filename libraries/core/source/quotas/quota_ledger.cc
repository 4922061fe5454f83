#include "switchsaddle/core/quotas/quota_ledger.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/configuration/quota_share.h"

namespace switchsaddle::core {

namespace {

/** After this time with the lease, the fronts' records include the predecessor's grants, or never
 * will. */
constexpr base::Duration TakeoverDelay = std::chrono::milliseconds(700);
/** Compensates for records that include units for about 0.2 s after they have left the window. */
constexpr double StaleUseFactor = 1.05;
/** Minimum length of a quota's window, in seconds. */
constexpr double MinimumWindowS = 1;
constexpr double MinimumRetryAfterMs = 200;
constexpr double MaximumRetryAfterMs = 2'000;
constexpr double MillisecondsPerSecond = 1'000;

std::uint32_t retryAfterMs(double missing_units, double units_per_s) {
  const double delay_ms = missing_units / std::max(1.0, units_per_s) * MillisecondsPerSecond;
  return static_cast<std::uint32_t>(std::clamp(delay_ms, MinimumRetryAfterMs, MaximumRetryAfterMs));
}

}  // namespace

QuotaLedger::QuotaLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                         QuotaAllocator& allocator, double window_s, HeldSince held_since)
    : dispatcher_(dispatcher),
      allocator_(allocator),
      window_s_(window_s),
      held_since_(std::move(held_since)) {
  calls.handle<wire::QuotaRequest>(
      callbacks_.guard([this](const base::NodeAddress& /*from*/, const wire::QuotaRequest& request,
                              const transport::ReplyFunction& reply) { reply(decide(request)); }));
}

wire::QuotaReply QuotaLedger::decide(const wire::QuotaRequest& request) {
  wire::QuotaReply reply;
  const std::optional<base::TimePoint> held_since = held_since_(request.tenant);
  reply.is_ledger = held_since.has_value();
  if (!held_since || dispatcher_.now() - *held_since < TakeoverDelay) {
    return reply;
  }
  // If this node finds no quota, its configuration may be older than the front's.
  if (const std::optional<QuotaUse> use = allocator_.useOf(request.tenant)) {
    reply.known = true;
    admit(request, *use, reply);
  }
  return reply;
}

void QuotaLedger::admit(const wire::QuotaRequest& request, const QuotaUse& use,
                        wire::QuotaReply& reply) {
  const base::TimePoint now = dispatcher_.now();
  Tenant& tenant = tenants_[request.tenant];
  tenant.unsettled.removeSettled(allocator_, now);
  const double limit = use.limit * configuration::UsableQuotaShare * StaleUseFactor;
  const double units_per_s = limit / std::max(MinimumWindowS, window_s_);
  tenant.pacer.advance(units_per_s, now);
  const double remaining = limit - use.admitted - tenant.unsettled.units();
  const double available = std::min(remaining, tenant.pacer.available());
  const std::size_t urgency = std::min<std::size_t>(request.urgency, QuotaPacer::Urgencies - 1);
  const double reserve = tenant.pacer.reserveFor(urgency, units_per_s);
  tenant.pacer.noteRequest(urgency, request.units);
  reply.granted = available > reserve;
  if (reply.granted) {
    tenant.pacer.noteGrant(urgency, request.units);
    tenant.unsettled.add(request, now);
  } else {
    reply.retry_after_ms = retryAfterMs(request.units + reserve - available, units_per_s);
  }
}

}  // namespace switchsaddle::core
