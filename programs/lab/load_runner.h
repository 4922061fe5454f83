#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "call_exchange.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/laboratory/load_plan.h"
#include "switchsaddle/laboratory/platform_list.h"

namespace switchsaddle::lab {

/** Where the load goes: through the fronts or, for comparison, straight to workers. */
struct LoadTargets {
  std::vector<base::NodeAddress> fronts;
  /** Used in place of the fronts where it isn't empty. */
  std::vector<laboratory::ListedWorker> workers;
};

/**
 * Sends the load's arrivals at their times, whether or not earlier ones have been answered, resends
 * one-shots whose answer went astray through another front, and records everything. One thread.
 */
class LoadRunner {
 public:
  LoadRunner(laboratory::LoadPlan plan, LoadTargets targets, std::uint64_t seed,
             base::Duration duration, CallRecorder recorder, http::Client& client,
             std::function<void()> finished);
  void start();
  std::uint64_t callsSent() const { return calls_; }

 private:
  void schedule();
  void onArrival();
  /** `attempt` counts the sends of this one-shot's key before this one. */
  void send(const laboratory::Arrival& arrival, int attempt, const base::NodeAddress& avoided);
  void onEnded(const laboratory::Arrival& arrival, int attempt, const base::NodeAddress& target,
               const laboratory::CallEvent& answer);
  void resendLater(const laboratory::Arrival& arrival, int attempt,
                   const base::NodeAddress& avoided);
  void finishIfIdle();
  std::vector<base::NodeAddress> candidates(const laboratory::Arrival& arrival) const;
  base::NodeAddress chooseTarget(const laboratory::Arrival& arrival,
                                 const base::NodeAddress& avoided);
  http::Request requestOf(const laboratory::Arrival& arrival, const std::string& request_id) const;

  laboratory::LoadPlan plan_;
  LoadTargets targets_;
  laboratory::ArrivalGenerator generator_;
  base::RandomSource random_;
  std::uint64_t seed_;
  base::Duration duration_;
  CallRecorder recorder_;
  http::Client& client_;
  std::function<void()> finished_;
  base::TimePoint started_{};
  laboratory::Arrival next_;
  base::TimerPtr arrival_timer_;
  /** Timers of resends; kept until the runner ends. */
  std::vector<base::TimerPtr> resend_timers_;
  std::uint64_t calls_ = 0;
  std::uint64_t open_ = 0;
  bool arrivals_over_ = false;
};

}  // namespace switchsaddle::lab
