#pragma once

#include <functional>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::sessions {

using LiveSessionsCallback =
    std::function<void(base::ResultCode, const std::vector<wire::SessionTableEntry>&)>;

/** Where a core node learns which fronts have live sessions anywhere in the fleet. */
class SessionDirectory {
 public:
  virtual ~SessionDirectory() = default;
  /**
   * Asks all core nodes and answers once a majority that is not recovering has: each front which
   * any of them knows as live, with the highest applied version seen. NoQuorum where no majority
   * answers within the settings' register deadline. Every session granted before the call is among
   * them unless it has lapsed.
   */
  virtual void readLive(LiveSessionsCallback callback) = 0;
  /** The same for the sessions of fronts that have an older version than this in force. One that a
   * core still knows with an older version is told even where another knows better. */
  virtual void readLagging(std::uint64_t version, LiveSessionsCallback callback) = 0;
  /** Sessions recorded at this node alone, with all that their fronts tell. */
  virtual std::vector<wire::SessionTableEntry> localSessions() const = 0;
  /** Those of fronts that have an older version than this in force, without what fronts tell
   * besides. */
  virtual std::vector<wire::SessionTableEntry> localLagging(std::uint64_t version) const = 0;
};

}  // namespace switchsaddle::sessions
