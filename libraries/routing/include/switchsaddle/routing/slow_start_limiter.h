#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/** What the guard knows of one worker instance. */
struct SlowStartState {
  std::uint64_t instance = 0;
  base::TimePoint first_seen{};
  /** Samples of this instance known here, own and merged. */
  double samples = 0;
  /** This front's placements on the worker under way. */
  std::uint32_t in_flight = 0;
  /** This front's last placement on the instance; only meaningful where there was one. */
  base::TimePoint last_placed{};
  bool placed = false;
  /** Present from the first list this front ever got: the fleet, not the worker, is new. */
  bool present_at_start = false;
  /** Requests a second that the worker bears from all fronts while cold; zero: not known, so that
   * its cold time is judged by its age and samples. */
  double bearable_per_s = 0;
  /** The platform lists it as cold. */
  bool listed_warming_up = false;
  /** Taken for cold until then whatever the list says. */
  base::TimePoint warming_up_until{};
};

/**
 * Bounds how many prompts a worker which has just returned receives from all fronts together,
 * without a call between them: of all fronts only those ranked first by rendezvous hashing of the
 * worker instance may try it, one prompt at a time each and one each PlacementInterval. One front
 * is let in during the first second and two during the next, hence at most
 * MostInFirstTwoSeconds prompts come from all fronts; afterwards as many fronts as the worker has
 * slots, until WarmSamples are known or MaximumSlowStart has passed.
 *
 * A worker whose bearable rate is known is cold for as long as the platform says; its rate is
 * shared by so many fronts, ranked the same way, that each may place once each PlacementInterval.
 * Fronts whose views of each other differ may so let in more, by the rate of the fronts they miss.
 */
class SlowStartLimiter {
 public:
  static constexpr double WarmSamples = 8.0;
  static constexpr base::Duration DoublingTime = std::chrono::seconds(1);
  static constexpr base::Duration PlacementInterval = std::chrono::milliseconds(500);
  /** Before this time no number of samples makes a worker warm. */
  static constexpr base::Duration MinimumSlowStart = std::chrono::seconds(2);
  /** After this time the guard no longer holds a worker back. */
  static constexpr base::Duration MaximumSlowStart = std::chrono::seconds(8);
  /** Two a second from the first front for two seconds, and from the second for one. */
  static constexpr int MostInFirstTwoSeconds = 6;

  void setFronts(const base::NodeAddress& self, const std::vector<base::NodeAddress>& fronts);
  bool isWarmingUp(const SlowStartState& state, base::TimePoint now) const;
  /** Whether this front may send the worker a request now. Always true for warm workers. */
  bool mayPlace(const SlowStartState& state, std::uint32_t slots, base::TimePoint now) const;

 private:
  std::size_t rankOfSelf(std::uint64_t instance) const;

  std::uint64_t self_hash_ = 0;
  std::vector<std::uint64_t> other_hashes_;
};

}  // namespace switchsaddle::routing
