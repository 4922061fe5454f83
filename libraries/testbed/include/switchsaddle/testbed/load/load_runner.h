#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/testbed/load/call_exchange.h"
#include "switchsaddle/testbed/load/load_plan.h"
#include "switchsaddle/testbed/workers/platform_list.h"

namespace switchsaddle::testbed {

/** Where the load goes: through the fronts or, for comparison, straight to workers. */
struct LoadTargets {
  std::vector<base::NodeAddress> fronts;
  /** Used in place of the fronts where it isn't empty. */
  std::vector<ListedWorker> workers;
};

/**
 * Sends the load's arrivals at their times, whether or not earlier ones have been answered, resends
 * one-shots whose answer went astray through another front, and records everything. One thread.
 */
class LoadRunner {
 public:
  LoadRunner(LoadPlan plan, LoadTargets targets, std::uint64_t seed, base::Duration duration,
             CallRecorder recorder, http::Client& client, std::function<void()> finished);
  void start();
  std::uint64_t callsSent() const { return calls_; }

 private:
  void schedule();
  void onArrival();
  /** `attempt` counts the sends of this one-shot's key before this one. */
  void send(const Arrival& arrival, int attempt, const base::NodeAddress& avoided);
  void onEnded(const Arrival& arrival, int attempt, const base::NodeAddress& target,
               const CallEvent& answer);
  /** Whether the caller of this one-shot sends its key again. */
  bool isRetried(const CallEvent& answer);
  void resendLater(const Arrival& arrival, int attempt, const base::NodeAddress& avoided);
  void finishIfIdle();
  std::vector<base::NodeAddress> candidates(const Arrival& arrival) const;
  base::NodeAddress chooseTarget(const Arrival& arrival, const base::NodeAddress& avoided);
  http::Request requestOf(const Arrival& arrival, const std::string& request_id) const;

  LoadPlan plan_;
  LoadTargets targets_;
  ArrivalGenerator generator_;
  base::RandomSource random_;
  std::uint64_t seed_;
  base::Duration duration_;
  CallRecorder recorder_;
  http::Client& client_;
  std::function<void()> finished_;
  base::TimePoint started_{};
  Arrival next_;
  base::TimerPtr arrival_timer_;
  /** Timers of resends; kept until the runner ends. */
  std::vector<base::TimerPtr> resend_timers_;
  std::uint64_t calls_ = 0;
  std::uint64_t open_ = 0;
  bool arrivals_over_ = false;
};

}  // namespace switchsaddle::testbed
