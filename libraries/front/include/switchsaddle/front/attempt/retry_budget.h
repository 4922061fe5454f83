#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "switchsaddle/base/dispatcher.h"

namespace switchsaddle::front {

/**
 * Limits the retries of each service to a share of its first attempts in a sliding window.
 *
 * Invariant: the retries of a window stay within the share over the complete fleet. Three rules
 * ensure this. There is no minimum per front, except for the `extra` that a caller passes as its
 * part of a fleet-wide allowance. Retries expire up to one slice late, so that rounding never
 * allows one too many. First attempts expire early: a front's load may fall while the retries that
 * its earlier load allowed are still in the window. Runs on the control strand.
 */
class RetryBudget {
 public:
  static constexpr base::Duration Window = std::chrono::seconds(10);
  static constexpr base::Duration Slice = std::chrono::milliseconds(100);
  /** First attempts expire this much earlier than retries, since each front's load varies. */
  static constexpr base::Duration Headroom = std::chrono::milliseconds(500);
  /** In this window retries may exceed their share by at most one, which prevents bursts. */
  static constexpr base::Duration ShortWindow = std::chrono::seconds(1);

  explicit RetryBudget(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  /** Counts the first attempt of a request. */
  void countFirstAttempt(const std::string& service);
  /**
   * @param share allowed retries as a share of the first attempts.
   * @param extra retries allowed in a window beyond the share; the sum over the fleet must not
   *     exceed the fleet's allowance.
   * @return whether tryAcquire() would succeed now.
   */
  bool mayAcquire(const std::string& service, double share, double extra = 0);
  /**
   * Counts a retry if the budget allows it. Must be called right before the retry is sent.
   * @return whether the retry is allowed; if not, nothing is counted.
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

  /** @return a lower bound of the expected first attempts, which allows for random variation. */
  static double lowerEstimate(std::uint64_t first_attempts);
  std::uint64_t countWithin(const Counts& counts, base::Duration age) const;
  void count(Counts& counts);
  void expire(Counts& counts, base::Duration age);

  base::Dispatcher& dispatcher_;
  std::map<std::string, ServiceCounts> services_;
};

}  // namespace switchsaddle::front
