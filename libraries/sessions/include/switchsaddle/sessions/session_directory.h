#pragma once

#include <functional>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::sessions {

using LiveSessionsCallback =
    std::function<void(base::ResultCode, const std::vector<wire::SessionTableEntry>&)>;

/** Finds the fronts with live sessions in the fleet, for a core node. Control strand. */
class SessionDirectory {
 public:
  virtual ~SessionDirectory() = default;
  /**
   * Reads the tables of all core nodes until a majority that is not recovering has answered.
   * @param callback receives each front with a live session in any of these tables, with its
   * highest applied version. Every session granted before the call is included unless it has
   * expired. The code is NoQuorum if no majority answered within SessionTimes::read_deadline.
   */
  virtual void readLive(LiveSessionsCallback callback) = 0;
  /** The same for fronts with a version below `version` in force. Includes a front if any core's
   * record shows an older version, even if another core has a newer record. */
  virtual void readLagging(std::uint64_t version, LiveSessionsCallback callback) = 0;
  /** @return the live sessions in this node's table, with complete records. */
  virtual std::vector<wire::SessionTableEntry> localSessions() const = 0;
  /** @return the live sessions in this node's table of fronts with a version below `version` in
   * force, without the fronts' load and demand. */
  virtual std::vector<wire::SessionTableEntry> localLagging(std::uint64_t version) const = 0;
};

}  // namespace switchsaddle::sessions
