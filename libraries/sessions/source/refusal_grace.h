#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::sessions {

/**
 * Tracks whether a majority of cores refuse connections, in which case a front may serve without a
 * session. The refusals cover the present time if a majority of the known cores have refused within
 * the lifetime of a refusal, without a gap since before the session expired.
 */
class RefusalGrace {
 public:
  /** Records that a core refused the connection of a request. */
  void addRefusal(const base::NodeAddress& core, base::TimePoint requested_at);
  /** Records an answer of a core, which ends the coverage. */
  void removeRefusal(const base::NodeAddress& core);
  /** Drops all refusals; the coverage continues until it expires. */
  void clearRefusals() { refusals_.clear(); }
  bool hasRefusals() const { return !refusals_.empty(); }

  /** @return until when a majority of the cores count as refusing; std::nullopt if fewer refuse. */
  std::optional<base::TimePoint> majorityRefusesUntil(
      const std::vector<base::NodeAddress>& cores) const;
  void coverUntil(base::TimePoint until) { covered_until_ = until; }
  void end() { covered_until_.reset(); }
  bool covers(base::TimePoint now) const { return covered_until_ && now < *covered_until_; }

 private:
  /** Refusing cores, each with the time of the last request that it refused. */
  std::map<base::NodeAddress, base::TimePoint> refusals_;
  std::optional<base::TimePoint> covered_until_;
};

}  // namespace switchsaddle::sessions
