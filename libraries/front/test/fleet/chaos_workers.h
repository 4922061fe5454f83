#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {

/** One request that was sent to a worker or whose connection was refused. */
struct WorkerAttempt {
  base::TimePoint at;
  bool stream = false;
  /** The incarnation of the front that sent it. */
  std::string front;
  base::NodeAddress worker;
  /** The caller's Request-Id. */
  std::string caller_request_id;
};

/** The result of one stream's run at its worker. */
struct WorkerRun {
  std::uint64_t chunks = 0;
  bool ended = false;
};

/** Records what all workers of a simulated fleet ran, whether or not a response arrived. */
struct WorkerHistory {
  std::vector<WorkerAttempt> attempts;
  /** Times at which each one-shot key ran. */
  std::map<std::string, std::vector<base::TimePoint>> key_runs;
  std::map<std::string, WorkerRun> streams;
  /** Number of runs of streams, by the caller's Request-Id. */
  std::map<std::string, int> stream_runs_by_request;
};

/** Probabilities of the workers' faults, for one request. */
struct WorkerFaultRates {
  /** The connection is refused: no byte is sent. */
  double refused = 0.04;
  /** Rejected with 503 and Not-Run before anything ran. */
  double not_run = 0.04;
  /** Each kind of fault within a run. */
  double each_fault = 0.03;
};

/**
 * Workers with random faults. They reject, lose, mix up, delay and duplicate one-shot requests, and
 * break streams before and after the first chunk by a gap, a repeat, a changed run, an early close,
 * a loss or a stall. Runs continue while the front that sent the request is frozen or killed.
 */
class ChaosWorkers : public WorkerPort {
 public:
  /** @param front_incarnation the current incarnation of the sending front. */
  ChaosWorkers(simulation::World& world, simulation::Process& worker, simulation::Process& front,
               WorkerHistory& history, WorkerFaultRates rates,
               std::function<std::string()> front_incarnation)
      : world_(world),
        worker_(worker),
        front_(front),
        history_(history),
        rates_(rates),
        front_incarnation_(std::move(front_incarnation)) {}

  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override;

 private:
  using Call = std::shared_ptr<FakeWorkers::Call>;

  /** Runs the action at the front, unless the call is cancelled or the front killed before. */
  void deliver(const Call& call, const std::shared_ptr<WorkerObserver>& observer,
               base::Duration delay, std::function<void(WorkerObserver&)> action);
  void runOneShot(const WorkerRequest& request, const Call& call,
                  const std::shared_ptr<WorkerObserver>& observer);
  void runStream(const WorkerRequest& request, const Call& call,
                 const std::shared_ptr<WorkerObserver>& observer);

  simulation::World& world_;
  simulation::Process& worker_;
  simulation::Process& front_;
  WorkerHistory& history_;
  WorkerFaultRates rates_;
  std::function<std::string()> front_incarnation_;
};

}  // namespace switchsaddle::front
