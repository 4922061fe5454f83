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

/** What a run of the configuration scenario is made of. */
struct ConfigurationScenarioOptions {
  std::uint64_t seed = 1;
  FleetSize size{.cores = 5, .fronts = 3, .operators = 3};
  /** Time under faults. */
  base::Duration fault_time = std::chrono::seconds(30);
  /** Ends the time under faults once this many changes are acknowledged; zero: never. */
  std::uint64_t changes = 0;
  /** Longest pause between two faults. */
  base::Duration fault_pause = std::chrono::milliseconds(1'500);
  /** Time after the last fault within which everything must work again. */
  base::Duration recovery_limit = std::chrono::seconds(12);
  double message_loss = 0.01;
  double message_duplication = 0.01;
  /** Longest delay of a message; messages overtake each other within it. */
  base::Duration message_delay = std::chrono::milliseconds(2);
  /** Operators read the configuration of random nodes all along. */
  bool reads = false;
  /** Disk faults come about as well, and are most of all faults. */
  bool disk_faults = false;
  core::CoreFaults core_faults;
  sessions::SessionClientFaults front_faults;
};

/** What a run showed. */
struct ConfigurationScenarioResult {
  /** Each broken promise, in plain words; empty where all were kept. */
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t resends = 0;
  /** Changes sent again long after their final answer. */
  std::uint64_t repetitions = 0;
  std::uint64_t faults = 0;
  std::uint64_t disk_faults = 0;
  /** Requests that reached workers. */
  std::uint64_t dispatches = 0;
  /** Callers' answers: streams begun, and refusals for want of a key and of a session. */
  std::uint64_t streams = 0;
  std::uint64_t unknown_keys = 0;
  std::uint64_t refusals = 0;
  /** Reads of the configuration by operators: answered with one, and refused for want of a quorum.
   */
  std::uint64_t reads = 0;
  std::uint64_t reads_refused = 0;
  /** Time under faults. */
  base::Duration fault_time{};
  /** Time from the last fault until every front served by the last version. */
  base::Duration recovery{};
  std::uint64_t events = 0;
};

/**
 * Operators race to change the configuration, by way of cores and fronts, while cores are killed,
 * lose power, freeze and are cut off, alone or together, one at a time loses its disk and is
 * admitted anew, and fronts are killed, frozen and restarted in turn. Callers open streams at every
 * front all along, under keys that are in force, revoked or on their way. The checker reads only
 * the operators' and callers' answers and what the workers received:
 *  - from the moment an operator is told that a version is in force, no front dispatches by an
 * older one, nor under a key which that version lacks, nor refuses a key which it holds;
 *  - a read of the configuration, of any node at any time, is answered by what is not older than
 * what was acknowledged when it was sent, or with 503;
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
  void poll();
  void runUnderFaults();
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
  void freezeFor(simulation::Process& process, base::Duration longest);
  void cutOff(const base::NodeAddress& node, base::Duration longest);
  void freezeThenCutOffFront();
  void restartCoresUnseen();
  void cutCores();
  void killFronts();
  void restartInTurn();
  void harmProposer(const base::NodeAddress& node);
  void prepareOperators();
  void openStreams();
  /** Reads the configuration of a random core or front. */
  void readSomewhere();
  void onRead(const base::NodeAddress& node, std::uint64_t promised,
              const wire::ControlReply& reply);
  void onDispatch(const Dispatch& dispatch);
  void onAnswer(const CallerAnswer& answer);
  void noteAcknowledged(const OperatorChange& change);
  void noteBegun(OperatorChange& change);
  /** The changes that lost on a base version, and what they were told. */
  std::string refusedOn(std::uint64_t base_version) const;
  void checkConflict(const OperatorChange& change, std::uint64_t newest);
  void checkVersionAtFront(const base::NodeAddress& front, std::uint64_t version);
  void restart(SimulatedCore& core, base::Duration longest);
  void violate(std::string what);
  void later(base::Duration delay, std::function<void()> action);

  ConfigurationScenarioOptions options_;
  Fleet fleet_;
  std::unique_ptr<DiskFaults> disk_faults_;
  /** The newest version an operator was told is in force. */
  std::uint64_t acknowledged_version_ = 0;
  /** Keys by what operators were told of them: in force, and removed. */
  std::vector<std::string> keys_in_force_;
  std::vector<std::string> revoked_keys_;
  /** Keys whose removal is under way or done. */
  std::set<std::string> keys_in_doubt_;
  ConfigurationScenarioResult result_;
  base::TimePoint next_streams_{};
  base::TimePoint next_read_{};
  /** The core whose disk was emptied last; the next one only once it is a member again. */
  SimulatedCore* wiped_ = nullptr;
  /** Set once the trouble is over, so that faults end that were to last longer. */
  bool calm_ = false;
};

}  // namespace switchsaddle::scenarios
