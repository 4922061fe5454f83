#include "switchsaddle/claims/peer_claim_client.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::claims {

PeerClaimClient::PeerClaimClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                 CoreAddresses cores, ClaimClientOptions options)
    : dispatcher_(dispatcher), calls_(calls), cores_(std::move(cores)), options_(options) {}

void PeerClaimClient::begin(const wire::ClaimBegin& request, ClaimCallback callback) {
  startOperation(request, std::move(callback));
}

void PeerClaimClient::finish(const wire::ClaimFinish& request, ClaimCallback callback) {
  startOperation(request, std::move(callback));
}

void PeerClaimClient::startOperation(wire::Message request, ClaimCallback callback) {
  const std::uint64_t id = next_id_++;
  Operation operation;
  operation.request = std::move(request);
  operation.callback = std::move(callback);
  operation.deadline = dispatcher_.now() + options_.deadline;
  operation.core_index = preferred_core_;
  operation.timeout_timer = dispatcher_.createTimer([this, id] { skipCore(id); });
  operation.retry_timer = dispatcher_.createTimer([this, id] { attemptNext(id); });
  operations_.emplace(id, std::move(operation));
  attemptNext(id);
}

void PeerClaimClient::attemptNext(std::uint64_t id) {
  Operation& operation = operations_.at(id);
  const base::Duration remaining = operation.deadline - dispatcher_.now();
  if (remaining <= base::Duration::zero()) {
    finishOperation(id, wire::ClaimReply{});
    return;
  }
  const std::vector<base::NodeAddress> cores = cores_();
  if (cores.empty() || operation.attempts >= cores.size()) {
    operation.attempts = 0;
    operation.retry_timer->enable(std::min(options_.retry_delay, remaining));
    return;
  }
  ++operation.attempts;
  const base::NodeAddress& core = cores[operation.core_index % cores.size()];
  if (operation.outstanding.contains(core)) {
    skipCore(id);
  } else {
    send(id, core, remaining);
  }
}

void PeerClaimClient::send(std::uint64_t id, const base::NodeAddress& core,
                           base::Duration remaining) {
  Operation& operation = operations_.at(id);
  operation.last_core = core;
  operation.outstanding.insert(core);
  operation.timeout_timer->enable(std::min(options_.core_timeout, remaining));
  calls_.call(core, operation.request, remaining,
              callbacks_.guard([this, id, core, core_index = operation.core_index](
                                   const auto& result) { onReply(id, core, core_index, result); }));
}

void PeerClaimClient::onReply(std::uint64_t id, const base::NodeAddress& core,
                              std::size_t core_index, const transport::CallResult& result) {
  const auto found = operations_.find(id);
  if (found == operations_.end()) {
    return;
  }
  Operation& operation = found->second;
  operation.outstanding.erase(core);
  const auto* reply = result.as<wire::ClaimReply>();
  if (reply != nullptr && reply->available) {
    preferred_core_ = core_index;
    finishOperation(id, *reply);
  } else if (core == operation.last_core && operation.timeout_timer->enabled()) {
    operation.timeout_timer->disable();
    skipCore(id);
  }
}

void PeerClaimClient::skipCore(std::uint64_t id) {
  ++operations_.at(id).core_index;
  attemptNext(id);
}

void PeerClaimClient::finishOperation(std::uint64_t id, const wire::ClaimReply& reply) {
  const auto found = operations_.find(id);
  const ClaimCallback callback = std::move(found->second.callback);
  operations_.erase(found);
  callback(reply);
}

}  // namespace switchsaddle::claims
