#include "switchsaddle/scenarios/core_exploration.h"

#include <chrono>

#include "evacuation_scenario.h"
#include "explored_fleet.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::scenarios {

namespace {

using exploration::DeviatingNetwork;
using exploration::RunReport;
using exploration::Schedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* FirstSetName = "first-set";
constexpr const char* ReplacementName = "replacement";
constexpr const char* EvacuationName = "evacuation";
constexpr std::size_t Members = 3;
constexpr base::Duration ChangeLimit = seconds(20);

RunReport reportOf(const DeviatingNetwork& network, const ExploredFleet& fleet) {
  return {fleet.violation(), network.messages(), network.fingerprint(), network.states(),
          network.trace()};
}

/** See firstSetScenario(). */
class FirstSetScenario : public exploration::Scenario {
 public:
  explicit FirstSetScenario(core::CoreFaults faults) : faults_(faults) {}

  std::string name() const override { return FirstSetName; }

  RunReport run(const Schedule& schedule, bool keep_trace) const override {
    FleetSize size;
    size.cores = Members;
    size.fronts = 0;
    ExploredFleet explored(size, faults_);
    DeviatingNetwork network(explored.fleet().world, explored.fleet().network, explored, schedule);
    if (keep_trace) {
      network.keepTrace();
    }
    network.open();
    explored.runChecked(FormationTime);
    network.close();
    explored.runChecked(RecoveryTime);
    explored.checkRecovery();
    if (explored.violation().empty() &&
        !explored.fleet().commitChange(firstChange(), ChangeLimit)) {
      explored.violate("no change is acknowledged");
    }
    return reportOf(network, explored);
  }

 private:
  /** The undisturbed run has its first set within this time. */
  static constexpr base::Duration FormationTime = milliseconds(800);
  /** Longer than a freeze or the time until a killed process starts again. */
  static constexpr base::Duration RecoveryTime = seconds(3);

  core::CoreFaults faults_;
};

/** See replacementScenario(). */
class ReplacementScenario : public exploration::Scenario {
 public:
  explicit ReplacementScenario(core::CoreFaults faults)
      : faults_(faults), opened_at_(timeOfJointSet() - TimeBeforeJointSet) {}

  std::string name() const override { return ReplacementName; }

  RunReport run(const Schedule& schedule, bool keep_trace) const override {
    ExploredFleet explored(sizes(), faults_);
    simulation::World& world = explored.fleet().world;
    DeviatingNetwork network(world, explored.fleet().network, explored, schedule);
    if (keep_trace) {
      network.keepTrace();
    }
    SimulatedCore* const frozen = freezeMember(explored);
    world.runFor(opened_at_ - world.now());
    network.open();
    explored.runChecked(ReplacementTime);
    network.close();
    explored.finishOperators();
    frozen->process().wake();
    explored.runChecked(RecoveryTime);
    explored.checkRecovery();
    return reportOf(network, explored);
  }

 private:
  static constexpr base::Duration TimeBeforeJointSet = milliseconds(30);
  /** The undisturbed run has its final set within this time. */
  static constexpr base::Duration ReplacementTime = milliseconds(400);
  static constexpr base::Duration RecoveryTime = seconds(3);
  static constexpr base::Duration JointLimit = seconds(30);

  static FleetSize sizes() {
    FleetSize size;
    size.cores = Members;
    size.fronts = 0;
    size.operators = 2;
    size.tolerated_core_losses = 1;
    return size;
  }

  /** Freezes a member that does not lead changes of the set, and starts the operators. */
  static SimulatedCore* freezeMember(ExploredFleet& explored) {
    Fleet& fleet = explored.fleet();
    fleet.world.runUntil([&] { return fleet.holderOf(core::CoreMembershipLease) != nullptr; },
                         JointLimit);
    fleet.addCore();
    if (!fleet.commitChange(firstChange(), ChangeLimit)) {
      explored.violate("the first change is not acknowledged");
    }
    fleet.world.runFor(seconds(2));
    const SimulatedCore* leader = fleet.holderOf(core::CoreMembershipLease);
    SimulatedCore* frozen =
        fleet.cores[0].get() == leader ? fleet.cores[1].get() : fleet.cores[0].get();
    frozen->process().freeze();
    explored.startOperators();
    return frozen;
  }

  /** @return when the undisturbed run has the joint set that replaces the frozen member. */
  base::TimePoint timeOfJointSet() const {
    ExploredFleet explored(sizes(), faults_);
    Fleet& fleet = explored.fleet();
    freezeMember(explored);
    const SimulatedCore* leader = fleet.holderOf(core::CoreMembershipLease);
    const auto is_joint = [&explored] { return explored.anyJointSet(); };
    if (leader == nullptr || !fleet.world.runUntil(is_joint, JointLimit)) {
      throw base::Error(base::ResultCode::InternalError, "the frozen member is not replaced");
    }
    return fleet.world.now();
  }

  core::CoreFaults faults_;
  base::TimePoint opened_at_;
};

}  // namespace

std::unique_ptr<exploration::Scenario> firstSetScenario(core::CoreFaults faults) {
  return std::make_unique<FirstSetScenario>(faults);
}

std::unique_ptr<exploration::Scenario> replacementScenario(core::CoreFaults faults) {
  return std::make_unique<ReplacementScenario>(faults);
}

std::unique_ptr<exploration::Scenario> evacuationScenario(core::CoreFaults faults) {
  return std::make_unique<EvacuationScenario>(EvacuationName, faults);
}

std::vector<std::string> coreScenarioNames() {
  return {FirstSetName, ReplacementName, EvacuationName};
}

std::unique_ptr<exploration::Scenario> coreScenario(const std::string& name,
                                                    core::CoreFaults faults) {
  if (name == FirstSetName) {
    return firstSetScenario(faults);
  }
  if (name == ReplacementName) {
    return replacementScenario(faults);
  }
  if (name == EvacuationName) {
    return evacuationScenario(faults);
  }
  throw base::Error(base::ResultCode::InvalidValue, "unknown scenario " + name);
}

}  // namespace switchsaddle::scenarios
