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
  /** Not open, or lapsed: new work is refused. */
  Lapsed,
  /** Open, but the configuration it was opened with is not yet in force here. */
  CatchingUp,
  /** Open and in force: new work is taken. */
  Serving,
  /** A majority of core addresses refuse connections; serves on within the grace of the settings.
   */
  ServingWithoutCore,
};

/**
 * The front's side of its session with a core node. Counts its limit from the moment of asking, on
 * a clock that goes on during suspension, so that a frozen front finds its session lapsed when it
 * wakes.
 */
class SessionClient {
 public:
  virtual ~SessionClient() = default;
  virtual void start() = 0;
  /** Ends the session; `closed` runs once a majority knows or the session has lapsed. */
  virtual void close(std::function<void()> closed) = 0;
  /** Evaluated against the clock at this very moment; asked right before each dispatch. */
  virtual SessionState state() const = 0;
  bool mayDispatch() const {
    const SessionState now = state();
    return now == SessionState::Serving || now == SessionState::ServingWithoutCore;
  }
  /** The configuration in force here has changed; renewals carry it from now on, and one goes at
   * once. */
  virtual void setApplied(std::uint64_t version, std::uint64_t digest) = 0;
  virtual const std::vector<base::NodeAddress>& coreAddresses() const = 0;
  virtual const std::vector<base::NodeAddress>& frontAddresses() const = 0;
};

}  // namespace switchsaddle::sessions
