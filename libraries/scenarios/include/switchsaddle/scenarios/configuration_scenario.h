#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/scenarios/disk_faults.h"
#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {

/** The options of one run of the configuration scenario. */
struct ConfigurationScenarioOptions {
  std::uint64_t seed = 1;
  FleetSize size{.cores = 5, .fronts = 3, .operators = 3};
  /** Time under faults. */
  base::Duration fault_time = std::chrono::seconds(30);
  /** Ends the time under faults once this many changes are acknowledged; zero: no limit. */
  std::uint64_t changes = 0;
  /** Longest pause between two faults. */
  base::Duration fault_pause = std::chrono::milliseconds(1'500);
  /** Time after the last fault within which every front must serve again. */
  base::Duration recovery_limit = std::chrono::seconds(12);
  double message_loss = 0.01;
  double message_duplication = 0.01;
  /** Longest delay of a message; messages overtake each other within it. */
  base::Duration message_delay = std::chrono::milliseconds(2);
  /** Operators read the configuration from random nodes during the whole run. */
  bool reads = false;
  /** Injects disk faults as well; they are then most of the faults. */
  bool disk_faults = false;
  core::CoreFaults core_faults;
  sessions::SessionClientFaults front_faults;
};

/** The result of one run. */
struct ConfigurationScenarioResult {
  /** Each violated invariant, as text; empty if none was violated. */
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t resends = 0;
  /** Earlier changes that were resent after their final answer. */
  std::uint64_t repetitions = 0;
  std::uint64_t faults = 0;
  std::uint64_t disk_faults = 0;
  /** Requests that reached workers. */
  std::uint64_t dispatches = 0;
  /** Callers' answers: streams begun, refusals of unknown keys, and all other refusals. */
  std::uint64_t streams = 0;
  std::uint64_t unknown_keys = 0;
  std::uint64_t refusals = 0;
  /** Operators' reads of the configuration: answered with one, and refused with 503. */
  std::uint64_t reads = 0;
  std::uint64_t reads_refused = 0;
  /** Time under faults. */
  base::Duration fault_time{};
  /** Time from the last fault until every front served with the newest acknowledged version. */
  base::Duration recovery{};
  std::uint64_t events = 0;
};

/**
 * Operators send concurrent changes of the configuration to cores and fronts while faults are
 * injected: cores are killed, lose power, freeze and are partitioned, one or several at a time; one
 * core at a time loses its disk and is admitted again; fronts are killed, frozen and restarted.
 * Callers open streams at every front during the whole run, with keys that are in force, revoked or
 * being revoked. The checker reads only the operators' and callers' answers and the requests that
 * workers received:
 *  - Once an operator's change is acknowledged, no front dispatches with an older version, or with
 *    a key that the version lacks, or refuses a key that the version contains.
 *  - A read of the configuration, from any node at any time, is answered with 503 or with a version
 *    that is not older than the newest one acknowledged when the read was sent.
 *  - No change gets two contradicting answers, and at most one change on each base version is
 *    committed.
 *  - After the faults, within the recovery limit, every change has its final answer and every front
 *    serves. The configuration then equals the acknowledged changes, and no others, applied in the
 *    order of their versions to the empty configuration.
 */
class ConfigurationScenario {
 public:
  explicit ConfigurationScenario(ConfigurationScenarioOptions options);
  ~ConfigurationScenario();

  ConfigurationScenarioResult run();

 private:
  void prepare();
  bool runUntil(const std::function<bool()>& condition, base::Duration limit);
  void poll();
  void runUnderFaults();
  void injectFault();
  void killCores();
  void freezeRandomNode();
  void partitionRandomNodes();
  void killFront();
  void wipeRandomCore();
  void healAll();
  void recover();
  void checkChanges();
  void checkFinalDocument();
  void freezeFor(simulation::Process& process, base::Duration longest);
  void isolateNode(const base::NodeAddress& node, base::Duration longest);
  void isolateFrontAfterFreeze();
  void restartCoresDuringIsolation();
  void partitionCores();
  void killFronts();
  void restartInTurn();
  void injectProposerFault(const base::NodeAddress& node);
  void prepareOperators();
  void openStreams();
  /** Reads the configuration of a random core or front. */
  void readFromRandomNode();
  void onRead(const base::NodeAddress& node, std::uint64_t acknowledged_before,
              const wire::ControlReply& reply);
  void onDispatch(const Dispatch& dispatch);
  void onAnswer(const CallerAnswer& answer);
  void onChangeAcknowledged(const OperatorChange& change);
  void onChangeBegun(OperatorChange& change);
  /** The changes on a base version that were not acknowledged, and the version each was answered.
   */
  std::string describeRefusedChanges(std::uint64_t base_version) const;
  void checkConflict(const OperatorChange& change, std::uint64_t newest);
  void checkVersionAtFront(const base::NodeAddress& front, std::uint64_t version);
  void restart(SimulatedCore& core, base::Duration longest);
  void addViolation(std::string what);
  void schedule(base::Duration delay, std::function<void()> action);

  ConfigurationScenarioOptions options_;
  Fleet fleet_;
  std::unique_ptr<DiskFaults> disk_faults_;
  /** The newest version that was acknowledged to an operator. */
  std::uint64_t acknowledged_version_ = 0;
  /** Keys whose addition was acknowledged, and keys whose removal was acknowledged. */
  std::vector<std::string> keys_in_force_;
  std::vector<std::string> revoked_keys_;
  /** Keys whose removal was sent, whatever its answer. */
  std::set<std::string> keys_being_removed_;
  ConfigurationScenarioResult result_;
  base::TimePoint next_streams_{};
  base::TimePoint next_read_{};
  /** The core whose disk was wiped last. The next wipe waits until it is a member again. */
  SimulatedCore* last_wiped_core_ = nullptr;
  /** Set when the time under faults ends: scheduled steps of faults are then skipped. */
  bool faults_ended_ = false;
};

}  // namespace switchsaddle::scenarios
