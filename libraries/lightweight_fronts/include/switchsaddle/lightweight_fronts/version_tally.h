#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "switchsaddle/base/time.h"

namespace switchsaddle::lightweight_fronts {

/** When the fronts of one process applied a version of the configuration. */
struct VersionTimes {
  base::TimePoint first;
  base::TimePoint last;
  /** Fronts that applied this version or a newer one. */
  std::size_t fronts = 0;
};

/**
 * Records for each version when the first and the last front applied it. A front that skips
 * versions counts for each of them. Keeps the versions of one experiment. Runs on the fronts'
 * strand.
 */
class VersionTally {
 public:
  /** Records that a front went from version `before` to `after`. */
  void applied(std::uint64_t before, std::uint64_t after, base::TimePoint now);
  const std::map<std::uint64_t, VersionTimes>& versions() const { return versions_; }
  /** @return the number of calls of applied(). */
  std::uint64_t applications() const { return applications_; }

 private:
  std::map<std::uint64_t, VersionTimes> versions_;
  std::uint64_t applications_ = 0;
};

}  // namespace switchsaddle::lightweight_fronts
