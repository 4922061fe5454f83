#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/http/message.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::front {

/**
 * Passes operators' requests on to a core node; where it is silent or refuses, to the next. Resent
 * changes carry their change_id, so that they take place once. Runs on the control strand.
 */
class ControlForwarder {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;
  using Respond = std::function<void(http::Response)>;

  /** Longest wait for one core node: above the deadlines of a register and of acknowledgement. */
  static constexpr base::Duration CoreTimeout = std::chrono::seconds(5);

  ControlForwarder(transport::PeerCalls& calls, CoreAddresses cores);

  /** Whether the path is one of the control API's that the core answers. */
  static bool serves(std::string_view path);
  void forward(const http::Request& request, Respond respond);

 private:
  void attemptCore(wire::ControlRequest request, std::size_t attempts, Respond respond);

  transport::PeerCalls& calls_;
  CoreAddresses cores_;
  /** The core that answered last. */
  std::size_t preferred_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::front
