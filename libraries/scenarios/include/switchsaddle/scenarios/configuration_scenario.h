#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/scenarios/disk_troubles.h"
#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {

/** What a run of the configuration scenario is made of. */
struct ConfigurationScenarioOptions {
  std::uint64_t seed = 1;
  FleetSize size{.cores = 5, .fronts = 3, .operators = 3};
  /** Time under faults. */
  base::Duration trouble = std::chrono::seconds(30);
  /** Longest pause between two faults. */
  base::Duration fault_pause = std::chrono::milliseconds(1'500);
  /** Time after the last fault within which everything must work again. */
  base::Duration recovery_limit = std::chrono::seconds(12);
  double message_loss = 0.01;
  double message_duplication = 0.01;
  /** Disk faults come about as well, and are most of all faults. */
  bool disk_faults = false;
  core::CoreFaults core_faults;
  FrontFaults front_faults;
};

/** What a run showed. */
struct ConfigurationScenarioResult {
  /** Each broken promise, in plain words; empty where all were kept. */
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t resends = 0;
  std::uint64_t faults = 0;
  std::uint64_t disk_faults = 0;
  /** Looks at a front that would have dispatched, and at one that would not. */
  std::uint64_t dispatches = 0;
  std::uint64_t refusals = 0;
  /** Time from the last fault until every front served by the last version. */
  base::Duration recovery{};
  std::uint64_t events = 0;
};

/**
 * Operators race to change the configuration while cores are killed, lose power, freeze and are cut
 * off, one at a time loses its disk and is admitted anew, and fronts are killed and frozen. The
 * checker reads only the operators' answers and what the fronts would dispatch by:
 *  - from the moment an operator is told that a version is in force, no front dispatches by an
 * older one;
 *  - no change gets two contradicting answers, and of the changes on one base version at most one
 * is committed;
 *  - after the trouble, within the recovery limit, every change has its final answer and every
 * front serves, and the configuration is what the acknowledged changes, in order of their versions
 * and no others, make of the empty one.
 */
class ConfigurationScenario {
 public:
  explicit ConfigurationScenario(ConfigurationScenarioOptions options);
  ~ConfigurationScenario();

  ConfigurationScenarioResult run();

 private:
  void prepare();
  bool settle(const std::function<bool()>& condition, base::Duration limit);
  void look();
  void runUnderTrouble();
  void injectFault();
  void killCores();
  void freezeSome();
  void cutSome();
  void killFront();
  void wipeOne();
  void healAll();
  void recover();
  void checkChanges();
  void checkFinalDocument();
  void violate(std::string what);
  void later(base::Duration delay, std::function<void()> action);

  ConfigurationScenarioOptions options_;
  Fleet fleet_;
  std::unique_ptr<DiskTroubles> disk_troubles_;
  /** The newest version an operator was told is in force. */
  std::uint64_t acknowledged_version_ = 0;
  ConfigurationScenarioResult result_;
  /** The core whose disk was emptied last; the next one only once it is a member again. */
  SimulatedCore* wiped_ = nullptr;
  /** Set once the trouble is over, so that faults end that were to last longer. */
  bool calm_ = false;
};

}  // namespace switchsaddle::scenarios
