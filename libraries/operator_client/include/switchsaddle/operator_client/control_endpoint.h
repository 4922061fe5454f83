#pragma once

#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::operator_client {

/** Carries single requests to single nodes; blocks until the answer or its absence is certain. */
class ControlTransport {
 public:
  virtual ~ControlTransport() = default;
  /** The whole response, or nothing where the node is silent, refuses or breaks off. */
  virtual std::optional<http::Response> exchange(const base::NodeAddress& address,
                                                 const http::Request& request) = 0;
  /** Waits a moment before the addresses are gone through once more. */
  virtual void pause() = 0;
};

/** A request of the control API. */
struct ControlCall {
  std::string method;
  std::string target;
  std::string body;
  /** Whether a 202 is to be asked again until it has become a 200; for changes only. */
  bool awaits_force = false;
};

/** The last answer, or none at all. */
struct ControlOutcome {
  bool is_answered = false;
  std::uint16_t status = 0;
  std::string body;
  base::NodeAddress address;
};

/**
 * The control API of a fleet: any of its nodes answers. Tries the next address where one is silent
 * or says that asking again is safe. The request is sent again byte for byte, so a change keeps its
 * change_id and is carried out once. Not thread-safe.
 */
class ControlEndpoint {
 public:
  ControlEndpoint(ControlTransport& transport, std::vector<base::NodeAddress> addresses,
                  std::string key);
  ControlOutcome call(const ControlCall& call);
  /** Asks one node and no other. */
  ControlOutcome callAt(const base::NodeAddress& address, const ControlCall& call);

 private:
  bool isFinal(const ControlCall& call, const ControlOutcome& outcome) const;

  ControlTransport& transport_;
  std::vector<base::NodeAddress> addresses_;
  std::string key_;
};

/** How often all addresses are gone through. */
inline constexpr int MaximumRounds = 5;

}  // namespace switchsaddle::operator_client
