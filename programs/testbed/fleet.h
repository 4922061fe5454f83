#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/fleet/process_control.h"

namespace switchsaddle::testbed_commands {

/** Held while a command changes a fleet's state, so that two commands don't undo each other. */
class FleetLock {
 public:
  /** Waits for the lock of the fleet in this directory. Throws base::Error. */
  explicit FleetLock(const std::string& directory);
  ~FleetLock();
  FleetLock(const FleetLock&) = delete;
  FleetLock& operator=(const FleetLock&) = delete;

 private:
  int file_ = -1;
};

/**
 * A fleet of real processes in one directory. Its state is kept in fleet.json, rewritten aside and
 * renamed after each change, so that every command finds the processes by pid and start time.
 */
class Fleet {
 public:
  explicit Fleet(testbed::FleetState state) : state_(std::move(state)) {}
  /** Reads DIRECTORY/fleet.json. Throws base::Error. */
  static Fleet load(const std::string& directory);
  void save() const;

  testbed::FleetState& state() { return state_; }
  /** The processes named; "cores", "fronts", "workers" and "all" stand for groups. */
  std::vector<testbed::FleetProcess*> named(const std::vector<std::string>& names);
  /** All processes of a role. */
  std::vector<testbed::FleetProcess*> ofRole(testbed::ProcessRole role);

  /** Folders and settings files of all processes. */
  void prepare();
  void writeSettings(const testbed::FleetProcess& process) const;
  void start(testbed::FleetProcess& process);
  /** Sends the signal to all, then waits until each is in the condition. */
  void signalAll(const std::vector<testbed::FleetProcess*>& processes, int signal_number,
                 testbed::ProcessCondition condition, base::Duration limit);
  /** Empties the data folder of a process that is down. */
  void wipe(const testbed::FleetProcess& process) const;
  /** Waits until each answers 200 on its readiness path. Throws where one dies or time is up. */
  void waitReady(const std::vector<testbed::FleetProcess*>& processes, base::Duration limit);
  /** Applies a whole configuration as the operator, repeating until it is committed. */
  void applyConfiguration(const std::string& document, base::Duration limit);
  /** One line on each process. */
  std::string status() const;

  static testbed::ProcessIdentity identityOf(const testbed::FleetProcess& process);

 private:
  testbed::FleetState state_;
};

}  // namespace switchsaddle::testbed_commands
