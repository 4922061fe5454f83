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
  /** Not open, or lapsed: new work is rejected. */
  Expired,
  /** Open, but the configuration version that it requires is not yet in force here. */
  CatchingUp,
  /** Open and in force: new work is accepted. */
  Serving,
  /** A majority of cores refuse connections: new work is accepted within the configured grace. */
  ServingWithoutCore,
};

/**
 * The front's side of its session with the cores. The front's limit counts from the request, on a
 * clock that advances during suspension, so that the session of a frozen front has lapsed when it
 * resumes. Runs on the dispatcher's strand.
 */
class SessionClient {
 public:
  virtual ~SessionClient() = default;
  virtual void start() = 0;
  /** Ends the session. @param closed called once a majority has recorded the end or the session has
   * lapsed. */
  virtual void close(std::function<void()> closed) = 0;
  /** Evaluated by the clock at the time of the call; must be called right before each dispatch. */
  virtual SessionState state() const = 0;
  bool mayDispatch() const {
    const SessionState now = state();
    return now == SessionState::Serving || now == SessionState::ServingWithoutCore;
  }
  /** Reports a change of the configuration in force here; one renewal is sent at once. */
  virtual void setApplied(std::uint64_t version, std::uint64_t digest) = 0;
  virtual const std::vector<base::NodeAddress>& coreAddresses() const = 0;
  virtual const std::vector<base::NodeAddress>& frontAddresses() const = 0;
};

}  // namespace switchsaddle::sessions
