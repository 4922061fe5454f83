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

/** One request that a worker was sent, or would have been had its connection not been refused. */
struct WorkerAttempt {
  base::TimePoint at;
  bool stream = false;
  /** The life of the front that sent it. */
  std::string front;
  base::NodeAddress worker;
  /** The caller's Request-Id. */
  std::string caller_request_id;
};

/** What one stream's run came to at its worker. */
struct WorkerRun {
  std::uint64_t chunks = 0;
  bool ended = false;
};

/** What all workers of a simulated fleet ran, whether or not a response arrived. */
struct WorkerLedger {
  std::vector<WorkerAttempt> attempts;
  /** Moments at which each one-shot key ran. */
  std::map<std::string, std::vector<base::TimePoint>> key_runs;
  std::map<std::string, WorkerRun> streams;
  /** Caller's Request-Ids of all streams that ran. */
  std::map<std::string, int> stream_runs_by_request;
};

/** How often workers misbehave, each as a chance for one request. */
struct WorkerFaultRates {
  /** Nothing listens: no byte is sent. */
  double refused = 0.04;
  /** Answered with 503 and Not-Run before anything ran. */
  double not_run = 0.04;
  /** Each kind of fault within a run. */
  double each_fault = 0.03;
};

/**
 * Workers which run, refuse, lose, cross, delay and double one-shots, and which break streams
 * before the first piece and after it, by gap, repeat, changed run, silent close, cut and stall.
 * What they do goes on while the front that asked is frozen or killed.
 */
class ChaosWorkers : public WorkerPort {
 public:
  /** `front_incarnation` names the present life of the front that sends. */
  ChaosWorkers(simulation::World& world, simulation::Process& worker, simulation::Process& front,
               WorkerLedger& ledger, WorkerFaultRates rates,
               std::function<std::string()> front_incarnation)
      : world_(world),
        worker_(worker),
        front_(front),
        ledger_(ledger),
        rates_(rates),
        front_incarnation_(std::move(front_incarnation)) {}

  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override;

 private:
  using Call = std::shared_ptr<FakeWorkers::Call>;

  /** Runs the action at the front, unless it cancels or is killed before. */
  void tell(const Call& call, const std::shared_ptr<WorkerObserver>& observer, base::Duration delay,
            std::function<void(WorkerObserver&)> action);
  void runOneShot(const WorkerRequest& request, const Call& call,
                  const std::shared_ptr<WorkerObserver>& observer);
  void runStream(const WorkerRequest& request, const Call& call,
                 const std::shared_ptr<WorkerObserver>& observer);

  simulation::World& world_;
  simulation::Process& worker_;
  simulation::Process& front_;
  WorkerLedger& ledger_;
  WorkerFaultRates rates_;
  std::function<std::string()> front_incarnation_;
};

}  // namespace switchsaddle::front
