#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "switchsaddle/base/time.h"

namespace switchsaddle::lightweight_fronts {

/** When a version of the configuration came into force on the fronts of one process. */
struct VersionTimes {
  base::TimePoint first;
  base::TimePoint last;
  /** Fronts that work by this version or a newer one. */
  std::size_t fronts = 0;
};

/**
 * Tells for each version when the first and the last front had it in force. A front that goes past
 * several versions at once counts for each of them. Keeps the versions of one experiment.
 */
class VersionTally {
 public:
  /** A front went from version `before` to `after`. */
  void applied(std::uint64_t before, std::uint64_t after, base::TimePoint now);
  const std::map<std::uint64_t, VersionTimes>& versions() const { return versions_; }
  /** Applications counted. */
  std::uint64_t applications() const { return applications_; }

 private:
  std::map<std::uint64_t, VersionTimes> versions_;
  std::uint64_t applications_ = 0;
};

}  // namespace switchsaddle::lightweight_fronts
