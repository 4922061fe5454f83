#include "switchsaddle/transport/peer_calls.h"

#include <utility>

namespace switchsaddle::transport {

namespace {

/**
 * Request ids start at the clock's nanoseconds and increase far more slowly than the clock. A new
 * process therefore never reuses the request ids of an earlier process at its address and ignores
 * replies to that process.
 */
std::uint64_t firstRequestId(base::TimePoint now) {
  return static_cast<std::uint64_t>(now.time_since_epoch() / std::chrono::nanoseconds(1)) + 1;
}

}  // namespace

PeerCalls::PeerCalls(base::Dispatcher& dispatcher, Transport& transport)
    : dispatcher_(dispatcher),
      transport_(transport),
      next_request_id_(firstRequestId(dispatcher.now())) {
  transport_.setReceiver(this);
}

PeerCalls::~PeerCalls() {
  transport_.setReceiver(nullptr);
}

void PeerCalls::call(const base::NodeAddress& to, wire::Message request, base::Duration timeout,
                     CallCallback callback) {
  const std::uint64_t request_id = next_request_id_++;
  PendingCall pending;
  pending.to = to;
  pending.callback = std::move(callback);
  pending.timer = dispatcher_.createTimer([this, request_id] {
    complete(request_id, CallResult{base::ResultCode::PeerTimeout, std::nullopt});
  });
  pending.timer->enable(timeout);
  pending_.emplace(request_id, std::move(pending));
  send(to, {localAddress(), wire::EnvelopeKind::Request, request_id, std::move(request)});
}

void PeerCalls::notify(const base::NodeAddress& to, wire::Message message) {
  send(to, {localAddress(), wire::EnvelopeKind::Notification, 0, std::move(message)});
}

void PeerCalls::send(const base::NodeAddress& to, wire::Envelope envelope) {
  if (to != localAddress()) {
    transport_.send(to, envelope);
    return;
  }
  dispatcher_.post(callbacks_.guard([this, envelope = std::move(envelope)] { deliver(envelope); }));
}

void PeerCalls::notifyAll(std::vector<base::NodeAddress> peers, wire::Message message) {
  if (std::erase(peers, localAddress()) > 0) {
    notify(localAddress(), message);
  }
  const wire::Envelope envelope{localAddress(), wire::EnvelopeKind::Notification, 0,
                                std::move(message)};
  transport_.sendToAll(peers, envelope);
}

void PeerCalls::onEnvelope(wire::Envelope envelope) {
  deliver(envelope);
}

void PeerCalls::onRefused(const base::NodeAddress& peer, const RefusedEnvelope& envelope) {
  if (envelope.kind != wire::EnvelopeKind::Request) {
    return;
  }
  const auto pending = pending_.find(envelope.request_id);
  const bool expected = pending != pending_.end() && pending->second.to == peer;
  if (expected) {
    complete(envelope.request_id, CallResult{base::ResultCode::PeerUnreachable, std::nullopt});
  }
}

void PeerCalls::deliver(const wire::Envelope& envelope) {
  if (envelope.kind == wire::EnvelopeKind::Reply) {
    deliverReply(envelope);
    return;
  }
  const Handler& handler = handlers_[envelope.message.index()];
  if (!handler) {
    return;
  }
  handler(envelope.sender, envelope.message, replyFunction(envelope));
}

void PeerCalls::deliverReply(const wire::Envelope& envelope) {
  const auto pending = pending_.find(envelope.request_id);
  const bool expected = pending != pending_.end() && pending->second.to == envelope.sender;
  if (expected) {
    complete(envelope.request_id, CallResult{base::ResultCode::Ok, envelope.message});
  }
}

ReplyFunction PeerCalls::replyFunction(const wire::Envelope& request) {
  if (request.kind != wire::EnvelopeKind::Request) {
    return [](const wire::Message&) {};
  }
  return callbacks_.guard(
      [this, to = request.sender, request_id = request.request_id](wire::Message message) {
        send(to, {localAddress(), wire::EnvelopeKind::Reply, request_id, std::move(message)});
      });
}

void PeerCalls::complete(std::uint64_t request_id, const CallResult& result) {
  const auto found = pending_.find(request_id);
  if (found == pending_.end()) {
    return;
  }
  const PendingCall pending = std::move(found->second);
  pending_.erase(found);
  pending.callback(result);
}

}  // namespace switchsaddle::transport
