#pragma once

#include <functional>
#include <map>
#include <vector>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {

/**
 * Brings disk faults over the cores of a fleet, one after the other: each kind of operation fails
 * at its next few uses, power is lost at each of the next operations, or at all cores while their
 * disks are slow; disks are full, stall for 20 s, and lose state (torn, flipped, truncated or
 * emptied files). At most two cores are impaired at one time, and at most one of them has lost
 * state, so that the promises of a majority stand.
 */
class DiskFaults {
 public:
  /** Runs an action after a delay, unless the trouble is over by then. */
  using Later = std::function<void(base::Duration, std::function<void()>)>;

  DiskFaults(Fleet& fleet, Later later);

  /** Brings about the next fault; a fault for which no core is fit is left out. */
  void injectNext();
  /** Whether one more core may lose its state without a majority being impaired. */
  bool oneMoreMayLoseState() { return chooseCore(true, true) != nullptr; }
  /** Takes back what is injected and still due. */
  void end();
  std::size_t injected() const { return injected_; }

 private:
  using Step = std::function<void(SimulatedCore&)>;

  void addFailures();
  void addPowerLosses();
  void addImpairments();
  void addLossesOfState();
  void powerLossAt(SimulatedCore& core, std::uint64_t nth);
  void powerLossOfAll();
  void restartSoon(SimulatedCore& core);
  void loseState(SimulatedCore& core, const std::function<void(SimulatedCore&)>& damage);
  /** Does something to the bytes of a random record file. */
  void damageFile(SimulatedCore& core, bool truncate);
  bool impaired(SimulatedCore& core) const;
  bool lostState(SimulatedCore& core) const;
  SimulatedCore* chooseCore(bool impairs, bool loses_state);

  struct Entry {
    Step step;
    bool impairs = false;
    bool loses_state = false;
  };

  Fleet& fleet_;
  Later later_;
  std::vector<Entry> entries_;
  std::size_t next_;
  std::size_t injected_ = 0;
  /** Until when each core's disk is full or stalls. */
  std::map<const SimulatedCore*, base::TimePoint> impaired_until_;
};

}  // namespace switchsaddle::scenarios
