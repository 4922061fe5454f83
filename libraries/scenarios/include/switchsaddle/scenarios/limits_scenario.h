#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/scenarios/fleet.h"
#include "switchsaddle/scenarios/simulated_front.h"
#include "switchsaddle/testbed/checks/branch_limit_checker.h"

namespace switchsaddle::scenarios {

/** The options of one run, in which one tenant sends many times its usual rate. */
struct LimitsScenarioOptions {
  std::uint64_t seed = 1;
  /** Fronts and cores are killed and frozen, cores are partitioned, and all cores restart at once.
   */
  bool faults = true;
  /** Share of attempts that every worker refuses. */
  double worker_refusal = 0;
  /** One model worker refuses all connections. */
  bool closed_worker = false;
  /** The configured ratio of retries to first attempts; at most 0.5. */
  double retry_share = 0.1;
  base::Duration duration = std::chrono::seconds(20);
};

/** What callers and workers recorded, and the checker's report. */
struct LimitsScenarioResult {
  testbed::Evidence evidence;
  testbed::BranchLimitReport report;
  /** Number of answers by result code; 0 for served requests. */
  std::map<int, int> answers;
  /** Number of attempts at each worker's address. */
  std::map<base::NodeAddress, int> attempts;
  int unanswered = 0;
};

/**
 * Complete cores and fronts in one world, with simulated workers and two tenants: one at its usual
 * rate and one at ten times that rate. Each tenant has one branch for streams and one for one-shot
 * requests. The checker is the same code as for a real fleet; it reads the callers' and the
 * workers' records.
 */
class LimitsScenario : private WorkerEventListener {
 public:
  explicit LimitsScenario(const LimitsScenarioOptions& options);
  ~LimitsScenario() override;

  /** Runs once. Throws std::runtime_error if the fleet does not start or is not configured. */
  LimitsScenarioResult run();

 private:
  class Writer;

  void onAttempt(const front::WorkerRequest& request) override;
  void onStart(const front::WorkerRequest& request) override;
  void onEnd(const front::WorkerRequest& request) override;
  void recordWorkerEvent(const std::string& event, const front::WorkerRequest& request);

  void listWorkers();
  void startFronts();
  void configure();
  bool allReady();
  void sendOne(const std::string& tenant, bool stream);
  void sendArrivals();
  void record(testbed::CallEvent event);
  void scheduleFaults();
  void injectFault();
  void injectFrontFault();
  void injectCoreFault();
  void restartLater(SimulatedCore& core, base::Duration after);
  void restoreAll();
  base::Duration randomTime(std::uint64_t shortest_ms, std::uint64_t longest_ms);

  LimitsScenarioOptions options_;
  Fleet fleet_;
  SimulatedWorkers workers_;
  std::vector<std::unique_ptr<SimulatedFront>> fronts_;
  LimitsScenarioResult result_;
  testbed::WorkerJournal journal_;
  std::uint64_t calls_ = 0;
  bool over_ = false;
};

}  // namespace switchsaddle::scenarios
