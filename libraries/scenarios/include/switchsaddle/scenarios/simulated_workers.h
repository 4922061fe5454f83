#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::scenarios {

/** How the simulated workers handle requests. */
struct WorkerConditions {
  base::Duration shortest_run = std::chrono::milliseconds(50);
  base::Duration longest_run = std::chrono::milliseconds(600);
  /** Probability that an attempt is refused with 503 before it runs. */
  double refusal = 0;
  /** Workers that refuse all connections. */
  std::set<base::NodeAddress> closed;
};

/** Is notified of events at the workers, at the simulated time at which they happen. */
class WorkerEventListener {
 public:
  virtual ~WorkerEventListener() = default;
  /** An attempt reached a worker's address, whatever its outcome. */
  virtual void onAttempt(const front::WorkerRequest& request) = 0;
  virtual void onStart(const front::WorkerRequest& request) = 0;
  virtual void onEnd(const front::WorkerRequest& request) = 0;
};

/**
 * All workers of a simulated fleet. A stream request ends early when its front closes the
 * connection or is killed; a one-shot request always runs to its end.
 */
class SimulatedWorkers {
 public:
  SimulatedWorkers(simulation::World& world, WorkerEventListener& listener)
      : world_(world), listener_(listener) {}

  /** A port through which one process sends requests to the workers. */
  std::unique_ptr<front::WorkerPort> connect(simulation::Process& process);

  WorkerConditions conditions;

 private:
  class Port;
  struct Run;

  void arrive(const std::shared_ptr<Run>& run);
  void finish(const std::shared_ptr<Run>& run);
  void end(Run& run);

  simulation::World& world_;
  WorkerEventListener& listener_;
};

}  // namespace switchsaddle::scenarios
