#pragma once

#include <map>
#include <string>

#include "switchsaddle/exploration/deviating_network.h"
#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {

/**
 * A fleet of whole cores, without fronts, whose cores can be disturbed by a schedule and recover by
 * themselves. Records what its operators are told and the first invariant that is violated.
 */
class ExploredFleet : public exploration::Machines {
 public:
  ExploredFleet(FleetSize size, core::CoreFaults faults);

  void kill(const base::NodeAddress& machine) override;
  void wipe(const base::NodeAddress& machine) override;
  void freeze(const base::NodeAddress& machine) override;
  bool contains(const base::NodeAddress& address) const override;

  /** Counts messages between operators and cores too. */
  void includeOperators() { includes_operators_ = true; }
  /** Starts the operators' changes and judges their answers. */
  void startOperators();
  void finishOperators();
  bool operatorsIdle() const;

  /** Runs for the duration and checks in between that a lease has at most one holder. */
  void runChecked(base::Duration duration);
  /** Whether a running core has a joint acceptor set. */
  bool anyJointSet() const;
  /** Whether a core does not run, or has a joint acceptor set or none. */
  bool setIsPending() const;
  /** Checks, once all machines run, that the fleet works and kept what it acknowledged. */
  void checkRecovery();

  /** Records a violation unless there is an earlier one. */
  void violate(const std::string& text);
  const std::string& violation() const { return violation_; }
  Fleet& fleet() { return fleet_; }

 private:
  void crash(const base::NodeAddress& machine, CrashKind kind);
  SimulatedCore* find(const base::NodeAddress& machine);
  void checkLease();
  void checkAnswers();
  void checkReads();
  void onAcknowledged(const OperatorChange& change);

  Fleet fleet_;
  bool includes_operators_ = false;
  std::string violation_;
  /** Identifiers of acknowledged changes by version. */
  std::map<std::uint64_t, std::string> acknowledged_;
};

}  // namespace switchsaddle::scenarios
