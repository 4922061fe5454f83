#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "switchsaddle/base/dispatcher.h"

namespace switchsaddle::front {

/**
 * Keeps the retries of each service below a share of its first tries over a sliding window. There
 * is no floor of its own: a service with few first tries has no retries, so that nothing adds up
 * over a fleet, unless the caller gives it this front's part of what the fleet may have besides.
 * Counted in slices; retries leave the window late by up to one slice, so that rounding never
 * allows a retry too many. First tries leave it early: each front's share was right when it spent
 * it, and the sum over the fleet must still be so when some of them have fewer first tries than
 * then. Runs on the control strand.
 */
class RetryBudget {
 public:
  static constexpr base::Duration Window = std::chrono::seconds(10);
  static constexpr base::Duration Slice = std::chrono::milliseconds(100);
  /** By how much first tries leave the window early, as each front's load goes up and down. */
  static constexpr base::Duration Headroom = std::chrono::milliseconds(500);
  /** Within this time retries may be one more than their share, so that none pile up. */
  static constexpr base::Duration ShortWindow = std::chrono::seconds(1);

  explicit RetryBudget(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  void countFirstAttempt(const std::string& service);
  /** Whether tryAcquire() would count one now. `extra`: repeats in a window beyond the share; the
   * fronts of a fleet together must not be given more than it may have. */
  bool mayAcquire(const std::string& service, double share, double extra = 0);
  /** To be asked right before the retry is sent. Counts a retry and returns true where it stays
   * within the share; else counts nothing.
   */
  bool tryAcquire(const std::string& service, double share, double extra = 0);

 private:
  struct SliceCount {
    base::TimePoint start;
    std::uint64_t count = 0;
  };
  struct Counts {
    std::deque<SliceCount> slices;
    std::uint64_t total = 0;
  };
  struct ServiceCounts {
    Counts first_attempts;
    Counts retries;
  };

  /** First tries that may be relied on while the load goes up and down by chance. */
  static double dependable(std::uint64_t first_attempts);
  std::uint64_t countWithin(const Counts& counts, base::Duration age) const;
  void count(Counts& counts);
  void expire(Counts& counts, base::Duration age);

  base::Dispatcher& dispatcher_;
  std::map<std::string, ServiceCounts> services_;
};

}  // namespace switchsaddle::front
