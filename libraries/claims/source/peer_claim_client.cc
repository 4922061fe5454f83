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
  operation.core = preferred_core_;
  operation.silence = dispatcher_.createTimer([this, id] { passOver(id); });
  operation.pause = dispatcher_.createTimer([this, id] { attemptNext(id); });
  operations_.emplace(id, std::move(operation));
  attemptNext(id);
}

void PeerClaimClient::attemptNext(std::uint64_t id) {
  Operation& operation = operations_.at(id);
  const base::Duration left = operation.deadline - dispatcher_.now();
  if (left <= base::Duration::zero()) {
    end(id, wire::ClaimReply{});
    return;
  }
  const std::vector<base::NodeAddress> cores = cores_();
  if (cores.empty() || operation.attempts_in_round >= cores.size()) {
    operation.attempts_in_round = 0;
    operation.pause->enable(std::min(options_.pause, left));
    return;
  }
  ++operation.attempts_in_round;
  const base::NodeAddress& core = cores[operation.core % cores.size()];
  if (operation.owing.contains(core)) {
    passOver(id);
  } else {
    ask(id, core, left);
  }
}

void PeerClaimClient::ask(std::uint64_t id, const base::NodeAddress& core, base::Duration left) {
  Operation& operation = operations_.at(id);
  operation.present = core;
  operation.owing.insert(core);
  operation.silence->enable(std::min(options_.core_timeout, left));
  calls_.call(
      core, operation.request, left,
      [this, alive = std::weak_ptr(alive_), id, core, index = operation.core](const auto& result) {
        if (!alive.expired()) {
          onAnswer(id, core, index, result);
        }
      });
}

void PeerClaimClient::onAnswer(std::uint64_t id, const base::NodeAddress& core, std::size_t index,
                               const transport::CallResult& result) {
  const auto found = operations_.find(id);
  if (found == operations_.end()) {
    return;
  }
  Operation& operation = found->second;
  operation.owing.erase(core);
  const auto* reply = result.as<wire::ClaimReply>();
  if (reply != nullptr && reply->available) {
    preferred_core_ = index;
    end(id, *reply);
  } else if (core == operation.present && operation.silence->enabled()) {
    operation.silence->disable();
    passOver(id);
  }
}

void PeerClaimClient::passOver(std::uint64_t id) {
  ++operations_.at(id).core;
  attemptNext(id);
}

void PeerClaimClient::end(std::uint64_t id, const wire::ClaimReply& reply) {
  const auto found = operations_.find(id);
  const ClaimCallback callback = std::move(found->second.callback);
  operations_.erase(found);
  callback(reply);
}

}  // namespace switchsaddle::claims
