#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::sessions {

/** The state of a front's session. */
enum class SessionState : std::uint8_t {
  /** Not open, or expired: new requests are rejected. */
  Expired,
  /** Open, but the required configuration version is not yet in force at this front. */
  CatchingUp,
  /** Open, with the required version in force: new requests are accepted. */
  Serving,
  /** A majority of cores refuse connections: new requests are accepted for the configured grace
   * period. */
  ServingWithoutCore,
};

/**
 * The front's side of its session with the cores. The front's limit counts from the request, on a
 * clock that advances during suspension, so the session of a suspended front has expired when the
 * front resumes. Runs on the dispatcher's strand.
 */
class SessionClient {
 public:
  virtual ~SessionClient() = default;
  virtual void start() = 0;
  /**
   * Ends the session.
   *
   * @param closed called once a majority has recorded the end or the session has expired.
   */
  virtual void close(std::function<void()> closed) = 0;
  /** Evaluated by the clock when called; must be called right before each dispatch. */
  virtual SessionState state() const = 0;
  bool mayDispatch() const {
    const SessionState now = state();
    return now == SessionState::Serving || now == SessionState::ServingWithoutCore;
  }
  /** Reports a change of the configuration in force at this front and sends a renewal at once. */
  virtual void setApplied(std::uint64_t version, std::uint64_t digest) = 0;
  virtual const std::vector<base::NodeAddress>& coreAddresses() const = 0;
  virtual const std::vector<base::NodeAddress>& frontAddresses() const = 0;
};

}  // namespace switchsaddle::sessions
