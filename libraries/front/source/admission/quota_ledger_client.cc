#include "switchsaddle/front/admission/quota_ledger_client.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::front {

namespace {

/** Time-out of one core, after which the next one is tried. */
constexpr base::Duration CoreTimeout = std::chrono::milliseconds(150);
/** Time-out of a request over all cores, for which a caller's request waits.
 */
constexpr base::Duration RequestDeadline = std::chrono::milliseconds(300);
/** Backoff after a request that no core could answer. */
constexpr base::Duration UnansweredBackoff = std::chrono::milliseconds(500);

}  // namespace

struct QuotaLedgerClient::PendingRequest {
  wire::QuotaRequest message;
  Callback callback;
  base::TimePoint deadline;
  /** Cores that have not been tried; the next one to try is at the back. */
  std::vector<base::NodeAddress> cores;
  /** The core that the request was sent to last. */
  base::NodeAddress core;
};

QuotaLedgerClient::QuotaLedgerClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                     std::uint64_t instance, CoreAddresses cores)
    : dispatcher_(dispatcher), calls_(calls), instance_(instance), cores_(std::move(cores)) {}

bool QuotaLedgerClient::reachable() const {
  return dispatcher_.now() >= backoff_until_;
}

std::uint64_t QuotaLedgerClient::completedRequests() const {
  return pending_.empty() ? last_number_ : *pending_.begin() - 1;
}

void QuotaLedgerClient::request(const std::string& tenant, std::uint32_t urgency, double units,
                                Callback callback) {
  auto pending = std::make_shared<PendingRequest>();
  pending->message = {tenant,
                      static_cast<float>(units),
                      static_cast<std::uint8_t>(urgency),
                      calls_.localAddress(),
                      instance_,
                      ++last_number_};
  pending->callback = std::move(callback);
  pending->deadline = dispatcher_.now() + RequestDeadline;
  pending->cores = cores_();
  const auto last_owner = ledgers_.find(admission::ledgerShardOf(tenant));
  if (last_owner != ledgers_.end()) {
    std::erase(pending->cores, last_owner->second);
    pending->cores.push_back(last_owner->second);
  }
  pending_.insert(last_number_);
  sendToNextCore(pending);
}

void QuotaLedgerClient::sendToNextCore(const PendingRequestPtr& pending) {
  const base::Duration remaining = pending->deadline - dispatcher_.now();
  if (pending->cores.empty() || remaining <= base::Duration::zero()) {
    backoff_until_ = dispatcher_.now() + UnansweredBackoff;
    dispatcher_.post(callbacks_.guard([this, pending] { complete(pending, std::nullopt); }));
    return;
  }
  pending->core = pending->cores.back();
  pending->cores.pop_back();
  calls_.call(pending->core, pending->message, std::min(remaining, CoreTimeout),
              callbacks_.guard([this, pending](const transport::CallResult& result) {
                onReply(pending, result);
              }));
}

void QuotaLedgerClient::onReply(const PendingRequestPtr& pending,
                                const transport::CallResult& result) {
  const std::uint32_t shard = admission::ledgerShardOf(pending->message.tenant);
  const auto* reply = result.as<wire::QuotaReply>();
  if (reply == nullptr || !reply->is_ledger) {
    if (ledgers_[shard] == pending->core) {
      ledgers_.erase(shard);
    }
    sendToNextCore(pending);
    return;
  }
  ledgers_[shard] = pending->core;
  if (!reply->known) {
    backoff_until_ = dispatcher_.now() + UnansweredBackoff;
  }
  complete(pending, reply->known ? std::optional(*reply) : std::nullopt);
}

void QuotaLedgerClient::complete(const PendingRequestPtr& pending,
                                 const std::optional<wire::QuotaReply>& reply) {
  // The callback counts the granted units; the request is complete only after that.
  pending->callback(reply);
  pending_.erase(pending->message.number);
}

}  // namespace switchsaddle::front
