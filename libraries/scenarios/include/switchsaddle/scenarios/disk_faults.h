#pragma once

#include <functional>
#include <map>
#include <vector>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {

/**
 * Injects disk faults at the cores of a fleet, one after the other. An operation of each kind
 * fails; power is lost at one of the next operations of a core, or at all cores while their disks
 * are slow; a disk is full, stalls for 20 s, or loses state (a torn write, a flipped byte, a
 * truncated file, a wiped disk). At most two cores are impaired at one time, and at most one of
 * them has lost state, so that a majority always keeps what it accepted.
 */
class DiskFaults {
 public:
  /** Runs an action after a delay, unless the time under faults has ended by then. */
  using ScheduleFunction = std::function<void(base::Duration, std::function<void()>)>;

  DiskFaults(Fleet& fleet, ScheduleFunction schedule);

  /** Injects the next fault; skips it if no core qualifies for it. */
  void injectNext();
  /** Whether one more core may lose its state within the limits of this class. */
  bool oneMoreMayLoseState() { return chooseCore(true, true) != nullptr; }
  /** Clears the faults that were injected and have not occurred yet. */
  void end();
  std::size_t injected() const { return injected_; }

 private:
  using Step = std::function<void(SimulatedCore&)>;

  void addFailures();
  void addPowerLosses();
  void addImpairments();
  void addStateLosses();
  void powerLossAt(SimulatedCore& core, std::uint64_t nth);
  void powerLossOfAllCores();
  void restartSoon(SimulatedCore& core);
  void loseState(SimulatedCore& core, const std::function<void(SimulatedCore&)>& damage);
  /** Truncates a random record file, or flips one of its bytes. */
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
  ScheduleFunction schedule_;
  std::vector<Entry> entries_;
  std::size_t next_;
  std::size_t injected_ = 0;
  /** When each core's full or stalled disk works again. */
  std::map<const SimulatedCore*, base::TimePoint> impaired_until_;
};

}  // namespace switchsaddle::scenarios
