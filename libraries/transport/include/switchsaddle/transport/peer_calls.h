#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/transport/transport.h"

namespace switchsaddle::transport {

/** Result of a call. */
struct CallResult {
  /** Ok, PeerUnreachable or PeerTimeout. */
  base::ResultCode code = base::ResultCode::PeerTimeout;
  /** Set if the code is Ok. */
  std::optional<wire::Message> reply;

  /** @return the reply, or nullptr if there is none or it has another type. */
  template <class ReplyType>
  const ReplyType* as() const {
    return reply ? std::get_if<ReplyType>(&*reply) : nullptr;
  }
};

using CallCallback = std::function<void(const CallResult&)>;
using ReplyFunction = std::function<void(wire::Message)>;

/**
 * Remote procedure calls and notifications between nodes over a Transport.
 *
 * Invariant: the callback of each call runs exactly once: with the reply, with PeerUnreachable if
 * the peer refused the connection for this request, or with PeerTimeout. A request without a reply
 * may still have been executed. Messages to this node's own address bypass the transport and are
 * delivered through the dispatcher. Runs on the dispatcher's strand.
 */
class PeerCalls : private Receiver {
 public:
  PeerCalls(base::Dispatcher& dispatcher, Transport& transport);
  ~PeerCalls() override;
  PeerCalls(const PeerCalls&) = delete;
  PeerCalls& operator=(const PeerCalls&) = delete;

  /** Sends a request. The callback does not run within this call. */
  void call(const base::NodeAddress& to, wire::Message request, base::Duration timeout,
            CallCallback callback);
  /** Sends a message that expects no reply. */
  void notify(const base::NodeAddress& to, wire::Message message);
  /** Sends a notification to each peer; the message is encoded once. */
  void notifyAll(std::vector<base::NodeAddress> peers, wire::Message message);
  const base::NodeAddress& localAddress() const { return transport_.localAddress(); }

  /**
   * Registers the handler of a message type, replacing an earlier one. The reply function may be
   * stored and called later, at most once; for notifications it does nothing.
   */
  template <class RequestType>
  void handle(
      std::function<void(const base::NodeAddress&, const RequestType&, ReplyFunction)> handler) {
    handlers_[wire::Message(RequestType{}).index()] =
        [handler = std::move(handler)](const base::NodeAddress& from, const wire::Message& message,
                                       ReplyFunction reply) {
          handler(from, std::get<RequestType>(message), std::move(reply));
        };
  }

 private:
  using Handler =
      std::function<void(const base::NodeAddress&, const wire::Message&, ReplyFunction)>;
  struct PendingCall {
    base::NodeAddress to;
    CallCallback callback;
    base::TimerPtr timer;
  };

  void onEnvelope(wire::Envelope envelope) override;
  void onRefused(const base::NodeAddress& peer, const RefusedEnvelope& envelope) override;
  /** Sends through the transport, or posts the delivery if the receiver is this node. */
  void send(const base::NodeAddress& to, wire::Envelope envelope);
  void deliver(const wire::Envelope& envelope);
  void deliverReply(const wire::Envelope& envelope);
  ReplyFunction replyFunction(const wire::Envelope& request);
  /** Runs the callback of a pending call; does nothing if it has completed. */
  void complete(std::uint64_t request_id, const CallResult& result);

  base::Dispatcher& dispatcher_;
  Transport& transport_;
  /** By the index of the message type. */
  std::array<Handler, std::variant_size_v<wire::Message>> handlers_;
  /** By request id. */
  std::unordered_map<std::uint64_t, PendingCall> pending_;
  std::uint64_t next_request_id_ = 1;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::transport
