#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/transport/transport.h"

namespace switchsaddle::transport {

/** The outcome of a call: a reply, or why there is none. */
struct CallResult {
  base::ResultCode code = base::ResultCode::PeerTimeout;
  std::optional<wire::Message> reply;

  /** The reply as the expected type, or nullptr where there is none or it is of another type. */
  template <class ReplyType>
  const ReplyType* as() const {
    return reply ? std::get_if<ReplyType>(&*reply) : nullptr;
  }
};

using CallCallback = std::function<void(const CallResult&)>;
using ReplyFunction = std::function<void(wire::Message)>;

/**
 * Requests with replies, and notifications, over a Transport. Each request's callback runs exactly
 * once: with the reply, with PeerUnreachable where the peer refused the connection that was to
 * carry this request, or with PeerTimeout. A request may have been carried out even where no reply
 * came. A call to the own address is delivered through the dispatcher without the transport. Runs
 * on the dispatcher's strand.
 */
class PeerCalls : private Receiver {
 public:
  PeerCalls(base::Dispatcher& dispatcher, Transport& transport);
  ~PeerCalls() override;
  PeerCalls(const PeerCalls&) = delete;
  PeerCalls& operator=(const PeerCalls&) = delete;

  void call(const base::NodeAddress& to, wire::Message request, base::Duration timeout,
            CallCallback callback);
  void notify(const base::NodeAddress& to, wire::Message message);
  /** Sends one message to each of them; it is encoded once. */
  void notifyAll(std::vector<base::NodeAddress> peers, wire::Message message);
  const base::NodeAddress& localAddress() const { return transport_.localAddress(); }

  /**
   * Registers the handler of one kind of request. The reply function may be kept and called later,
   * once or never; for notifications it does nothing.
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
  void deliver(const wire::Envelope& envelope);
  void finish(std::uint64_t request_id, const CallResult& result);

  base::Dispatcher& dispatcher_;
  Transport& transport_;
  std::array<Handler, std::variant_size_v<wire::Message>> handlers_;
  std::unordered_map<std::uint64_t, PendingCall> pending_;
  std::uint64_t next_request_id_ = 1;
  /** Expires with this object, so that posted deliveries do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::transport
