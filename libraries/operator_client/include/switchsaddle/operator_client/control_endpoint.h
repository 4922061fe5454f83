#pragma once

#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::operator_client {

/** Blocking transport of control requests. */
class ControlTransport {
 public:
  virtual ~ControlTransport() = default;
  /** @return the complete response; std::nullopt after any failure of the connection. */
  virtual std::optional<http::Response> exchange(const base::NodeAddress& address,
                                                 const http::Request& request) = 0;
  /** Waits before the next round of attempts. */
  virtual void pause() = 0;
};

/** A request of the control API. */
struct ControlCall {
  std::string method;
  std::string target;
  std::string body;
  /** Retry after status 202 until the change is in force everywhere (200); for changes only. */
  bool awaits_force = false;
};

/** Outcome of a control request: the last response, or none. */
struct ControlOutcome {
  bool is_answered = false;
  std::uint16_t status = 0;
  std::string body;
  /** The node that responded. */
  base::NodeAddress address;
};

/**
 * The control API of a fleet, served by any of its nodes. Rotates through the addresses until a
 * response is final: the next node is tried after a time-out or an error that is safe to retry.
 *
 * Invariant: all attempts of call() send identical requests, so that a change keeps its change_id
 * and is applied once. Not thread-safe.
 */
class ControlEndpoint {
 public:
  /** @param key the operator's key. */
  ControlEndpoint(ControlTransport& transport, std::vector<base::NodeAddress> addresses,
                  std::string key);
  /** Sends the request to the addresses in turn, at most MaximumRounds times each. */
  ControlOutcome call(const ControlCall& call);
  /** Sends the request to one node, without retries. */
  ControlOutcome callAt(const base::NodeAddress& address, const ControlCall& call);

 private:
  /** @return whether no further attempt is needed. */
  bool isFinal(const ControlCall& call, const ControlOutcome& outcome) const;

  ControlTransport& transport_;
  std::vector<base::NodeAddress> addresses_;
  std::string key_;
};

/** Maximum number of attempts at each address. */
inline constexpr int MaximumRounds = 5;

}  // namespace switchsaddle::operator_client
