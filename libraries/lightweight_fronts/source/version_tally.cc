#include "switchsaddle/lightweight_fronts/version_tally.h"

namespace switchsaddle::lightweight_fronts {

void VersionTally::applied(std::uint64_t before, std::uint64_t after, base::TimePoint now) {
  ++applications_;
  for (std::uint64_t version = before + 1; version <= after; ++version) {
    VersionTimes& times = versions_.try_emplace(version, VersionTimes{now, now, 0}).first->second;
    times.last = now;
    ++times.fronts;
  }
}

}  // namespace switchsaddle::lightweight_fronts
