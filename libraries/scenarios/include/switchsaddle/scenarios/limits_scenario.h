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

/** What happens to the fleet while a tenant sends many times its usual. */
struct LimitsScenarioOptions {
  std::uint64_t seed = 1;
  /** Fronts and cores are killed, frozen, woken, cut off, and all cores restarted. */
  bool faults = true;
  /** Share of attempts that every worker refuses. */
  double worker_refusal = 0;
  /** Nothing listens at one model worker. */
  bool closed_worker = false;
  /** The configured share of retries in first tries; at most 0.5. */
  double retry_share = 0.1;
  base::Duration duration = std::chrono::seconds(20);
};

/** What callers and workers saw. */
struct LimitsScenarioResult {
  testbed::Evidence evidence;
  testbed::BranchLimitReport report;
  /** Answers by result code; 0 for those that were served. */
  std::map<int, int> answers;
  /** Attempts at each worker's address. */
  std::map<base::NodeAddress, int> attempts;
  int unanswered = 0;
};

/**
 * Real cores and fronts in one world, with simulated workers, and two tenants: one at its usual and
 * one at ten times its usual. Each tenant has a branch for streams and one for one-shots. Judged by
 * the same code as a real fleet, from the calls and from what the workers saw.
 */
class LimitsScenario : private WorkerWitness {
 public:
  explicit LimitsScenario(const LimitsScenarioOptions& options);
  ~LimitsScenario() override;

  /** Runs once. Throws std::runtime_error where the fleet does not come up. */
  LimitsScenarioResult run();

 private:
  class Writer;

  void onAttempt(const front::WorkerRequest& request) override;
  void onStart(const front::WorkerRequest& request) override;
  void onEnd(const front::WorkerRequest& request) override;
  void note(const std::string& event, const front::WorkerRequest& request);

  void listWorkers();
  void startFronts();
  void configure();
  bool allReady();
  void sendOne(const std::string& tenant, bool stream);
  void sendArrivals();
  void record(testbed::CallEvent event);
  void scheduleFaults();
  void disturb();
  void disturbFront();
  void disturbCores();
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
