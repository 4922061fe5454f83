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

/** Targets of the load: the fronts or, for comparison, the workers themselves. */
struct LoadTargets {
  std::vector<base::NodeAddress> fronts;
  /** Used instead of the fronts if not empty. */
  std::vector<ListedWorker> workers;
};

/**
 * Sends each arrival at its time, whether or not earlier ones have been answered. If the answer to
 * a one-shot request is lost, resends it through another front. Records all calls. Runs on one
 * thread.
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
  /** `attempt` is the number of earlier sends of this one-shot request's key. */
  void send(const Arrival& arrival, int attempt, const base::NodeAddress& avoided);
  void onEnded(const Arrival& arrival, int attempt, const base::NodeAddress& target,
               const CallEvent& answer);
  /** Whether the caller resends this one-shot request's key. */
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
  /** Timers of resends; kept until the runner is destroyed. */
  std::vector<base::TimerPtr> resend_timers_;
  std::uint64_t calls_ = 0;
  std::uint64_t outstanding_ = 0;
  bool arrivals_ended_ = false;
};

}  // namespace switchsaddle::testbed
