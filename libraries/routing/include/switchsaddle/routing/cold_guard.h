#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/** What the guard knows of one worker instance. */
struct ColdState {
  std::uint64_t instance = 0;
  base::TimePoint first_seen{};
  /** Samples of this instance known here, own and merged. */
  double samples = 0;
  /** This front's placements on the worker under way. */
  std::uint32_t in_flight = 0;
  /** Present from the first list this front ever got: the fleet, not the worker, is new. */
  bool present_at_start = false;
};

/**
 * Bounds how many prompts a worker which has just returned receives from all fronts together,
 * without a call between them: of all fronts only those ranked first by rendezvous hashing of the
 * worker instance may try it, one prompt at a time each. The number of fronts let in starts at one
 * and doubles each second, and with each doubling of the known samples; a worker counts as warm
 * from WarmSamples on.
 */
class ColdGuard {
 public:
  static constexpr double WarmSamples = 8.0;
  static constexpr base::Duration DoublingTime = std::chrono::seconds(1);
  /** After this time the guard no longer holds a worker back. */
  static constexpr base::Duration LongestGuard = std::chrono::seconds(10);

  void setFronts(const base::NodeAddress& self, const std::vector<base::NodeAddress>& fronts);
  bool isCold(const ColdState& state, base::TimePoint now) const;
  /** Whether this front may send the worker a prompt now. Always true for warm workers. */
  bool mayPlace(const ColdState& state, base::TimePoint now) const;

 private:
  std::size_t rankOfSelf(std::uint64_t instance) const;

  std::uint64_t self_hash_ = 0;
  std::vector<std::uint64_t> other_hashes_;
};

}  // namespace switchsaddle::routing
