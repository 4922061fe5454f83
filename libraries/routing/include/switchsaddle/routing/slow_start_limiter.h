#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/** The slow-start state of one worker instance at one front. */
struct SlowStartState {
  /** Hash of the worker instance; the same on all fronts. */
  std::uint64_t instance = 0;
  base::TimePoint first_seen{};
  /** Samples of this instance: this front's own and those merged from other fronts. */
  double samples = 0;
  /** This front's requests in flight on the worker. */
  std::uint32_t in_flight = 0;
  /** This front's last placement on the instance; only meaningful if `placed`. */
  base::TimePoint last_placed{};
  bool placed = false;
  /** Listed in the first snapshot that this front received: the front is new, not the worker. */
  bool present_at_start = false;
  /** Requests per second from all fronts that the worker sustains while it is warming up; zero:
   * unknown, and slow start ends by age and samples. */
  double rate_limit_per_s = 0;
  /** The platform lists the worker as warming up. */
  bool listed_warming_up = false;
  /** Until then the worker counts as warming up, whatever the platform lists. */
  base::TimePoint warming_up_until{};
};

/**
 * Slow start over all fronts: limits how many prompts a worker that has just returned receives from
 * the whole fleet, without communication between fronts. Fronts are ranked by rendezvous hashing of
 * the worker instance, and only the first ones may use it. Each of them may have one prompt in
 * flight and place one per PlacementInterval. One front is admitted during the first second and two
 * during the next, so that at most MaximumInFirstTwoSeconds prompts arrive from all fronts.
 * Afterwards as many fronts are admitted as the worker has slots, until WarmSamples are known or
 * MaximumSlowStart has passed.
 *
 * A worker with a configured rate limit is warming up for as long as the platform lists it so. Each
 * admitted front may place one prompt per PlacementInterval, and the rate limit determines how many
 * fronts, ranked in the same way, are admitted. Fronts with different views of the fleet may exceed
 * the limit by the share of the fronts they do not see. Runs on the control strand.
 */
class SlowStartLimiter {
 public:
  static constexpr double WarmSamples = 8.0;
  /** The number of admitted fronts doubles at this interval. */
  static constexpr base::Duration DoublingTime = std::chrono::seconds(1);
  static constexpr base::Duration PlacementInterval = std::chrono::milliseconds(500);
  /** A worker is warming up for at least this long, whatever its number of samples. */
  static constexpr base::Duration MinimumSlowStart = std::chrono::seconds(2);
  /** Slow start ends after this time, whatever the number of samples. */
  static constexpr base::Duration MaximumSlowStart = std::chrono::seconds(8);
  /** Two per second from the first front for two seconds, and from the second for one second.
   */
  static constexpr int MaximumInFirstTwoSeconds = 6;

  /** @param fronts all fronts with live sessions; may include `self`. */
  void setFronts(const base::NodeAddress& self, const std::vector<base::NodeAddress>& fronts);
  bool isWarmingUp(const SlowStartState& state, base::TimePoint now) const;
  /** @return whether this front may send the worker a request now; always true for warm workers. */
  bool mayPlace(const SlowStartState& state, std::uint32_t slots, base::TimePoint now) const;

 private:
  /** Whether this front is among those that share the worker's configured rate limit. */
  bool sharesRateLimit(const SlowStartState& state) const;
  /** Number of fronts admitted to a worker of this age. */
  static std::size_t admittedFronts(base::Duration age, std::uint32_t slots);
  /** Number of fronts that rank before this one for the instance. */
  std::size_t rankOfSelf(std::uint64_t instance) const;

  std::uint64_t self_hash_ = 0;
  std::vector<std::uint64_t> peer_hashes_;
};

}  // namespace switchsaddle::routing
