#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::scenarios {

/** How the simulated workers treat requests. */
struct WorkerConditions {
  base::Duration shortest_run = std::chrono::milliseconds(50);
  base::Duration longest_run = std::chrono::milliseconds(600);
  /** Chance that an attempt is refused with 503 before it runs. */
  double refusal = 0;
  /** Workers at which nothing listens. */
  std::set<base::NodeAddress> closed;
};

/** Hears what the workers see, at the very instant. */
class WorkerWitness {
 public:
  virtual ~WorkerWitness() = default;
  /** An attempt reached a worker's address, whatever came of it. */
  virtual void onAttempt(const front::WorkerRequest& request) = 0;
  virtual void onStart(const front::WorkerRequest& request) = 0;
  virtual void onEnd(const front::WorkerRequest& request) = 0;
};

/**
 * All workers of a simulated fleet. A stream ends when its front closes the connection or is
 * killed; a one-shot runs to its end whatever becomes of its front.
 */
class SimulatedWorkers {
 public:
  SimulatedWorkers(simulation::World& world, WorkerWitness& fleet_knowledge)
      : world_(world), witness_(fleet_knowledge) {}

  /** The workers as one process reaches them. */
  std::unique_ptr<front::WorkerPort> connect(simulation::Process& process);

  WorkerConditions conditions;

 private:
  class Port;
  struct Run;

  void arrive(const std::shared_ptr<Run>& run);
  void finish(const std::shared_ptr<Run>& run);
  void end(Run& run);

  simulation::World& world_;
  WorkerWitness& witness_;
};

}  // namespace switchsaddle::scenarios
