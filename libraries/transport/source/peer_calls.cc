#include "switchsaddle/transport/peer_calls.h"

#include <utility>

namespace switchsaddle::transport {

namespace {

/**
 * Request numbers begin at the clock's nanoseconds and rise far slower than it does. So a process
 * never takes an answer to an earlier one at its address for an answer to a request of its own.
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
    finish(request_id, CallResult{base::ResultCode::PeerTimeout, std::nullopt});
  });
  pending.timer->enable(timeout);
  pending_.emplace(request_id, std::move(pending));
  wire::Envelope envelope{localAddress(), wire::EnvelopeKind::Request, request_id,
                          std::move(request)};
  if (to != localAddress()) {
    transport_.send(to, envelope);
    return;
  }
  dispatcher_.post([this, alive = std::weak_ptr(alive_), envelope = std::move(envelope)] {
    if (!alive.expired()) {
      deliver(envelope);
    }
  });
}

void PeerCalls::notify(const base::NodeAddress& to, wire::Message message) {
  wire::Envelope envelope{localAddress(), wire::EnvelopeKind::Notification, 0, std::move(message)};
  if (to != localAddress()) {
    transport_.send(to, envelope);
    return;
  }
  dispatcher_.post([this, alive = std::weak_ptr(alive_), envelope = std::move(envelope)] {
    if (!alive.expired()) {
      deliver(envelope);
    }
  });
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
    finish(envelope.request_id, CallResult{base::ResultCode::PeerUnreachable, std::nullopt});
  }
}

void PeerCalls::deliver(const wire::Envelope& envelope) {
  if (envelope.kind == wire::EnvelopeKind::Reply) {
    const auto pending = pending_.find(envelope.request_id);
    const bool expected = pending != pending_.end() && pending->second.to == envelope.sender;
    if (expected) {
      finish(envelope.request_id, CallResult{base::ResultCode::Ok, envelope.message});
    }
    return;
  }
  const Handler& handler = handlers_[envelope.message.index()];
  if (!handler) {
    return;
  }
  ReplyFunction reply = [](const wire::Message&) {};
  if (envelope.kind == wire::EnvelopeKind::Request) {
    reply = [this, alive = std::weak_ptr(alive_), to = envelope.sender,
             request_id = envelope.request_id](wire::Message message) {
      if (alive.expired()) {
        return;
      }
      wire::Envelope answer{localAddress(), wire::EnvelopeKind::Reply, request_id,
                            std::move(message)};
      if (to != localAddress()) {
        transport_.send(to, answer);
        return;
      }
      dispatcher_.post([this, alive, answer = std::move(answer)] {
        if (!alive.expired()) {
          deliver(answer);
        }
      });
    };
  }
  handler(envelope.sender, envelope.message, std::move(reply));
}

void PeerCalls::finish(std::uint64_t request_id, const CallResult& result) {
  const auto found = pending_.find(request_id);
  if (found == pending_.end()) {
    return;
  }
  const PendingCall pending = std::move(found->second);
  pending_.erase(found);
  pending.callback(result);
}

}  // namespace switchsaddle::transport
