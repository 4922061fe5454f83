#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::front {

/**
 * Forwards operators' requests to a core node, and to the next one if it does not respond or
 * rejects the call, as long as the operator waits. Changes carry a change_id, which makes their
 * retries idempotent. Runs on the control strand.
 */
class ControlForwarder {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;
  using Respond = std::function<void(http::Response)>;

  /** Timeout of a call to one core node. Longer than the deadlines of register operations and of
   * acknowledgements. */
  static constexpr base::Duration CoreTimeout = std::chrono::seconds(5);

  ControlForwarder(transport::PeerCalls& calls, CoreAddresses cores);

  /** Whether the core serves this path of the control API. */
  static bool serves(std::string_view path);
  /** @param respond called once, with NoQuorum if no core responded, unless the forwarder is
   *     destroyed first. */
  void forward(const http::Request& request, Respond respond);

 private:
  /** A request, and the operator's connection to this front. */
  struct Forwarded {
    wire::ControlRequest request;
    http::ClientPresencePtr client;
  };

  void attemptCore(Forwarded forwarded, std::size_t attempts, Respond respond);

  transport::PeerCalls& calls_;
  CoreAddresses cores_;
  /** Index of the core that responded last. */
  std::size_t preferred_ = 0;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::front
