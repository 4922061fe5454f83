#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/laboratory/fleet_layout.h"
#include "switchsaddle/laboratory/process_control.h"

namespace switchsaddle::lab {

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
  explicit Fleet(laboratory::FleetState state) : state_(std::move(state)) {}
  /** Reads DIRECTORY/fleet.json. Throws base::Error. */
  static Fleet load(const std::string& directory);
  void save() const;

  laboratory::FleetState& state() { return state_; }
  /** The processes named; "cores", "fronts", "workers" and "all" stand for groups. */
  std::vector<laboratory::FleetProcess*> named(const std::vector<std::string>& names);
  /** All processes of a role. */
  std::vector<laboratory::FleetProcess*> ofRole(laboratory::ProcessRole role);

  /** Folders and settings files of all processes. */
  void prepare();
  void writeSettings(const laboratory::FleetProcess& process) const;
  void start(laboratory::FleetProcess& process);
  /** Sends the signal to all, then waits until each is in the condition. */
  void signalAll(const std::vector<laboratory::FleetProcess*>& processes, int signal_number,
                 laboratory::ProcessCondition condition, base::Duration limit);
  /** Empties the data folder of a process that is down. */
  void wipe(const laboratory::FleetProcess& process) const;
  /** Waits until each answers 200 on its readiness path. Throws where one dies or time is up. */
  void waitReady(const std::vector<laboratory::FleetProcess*>& processes, base::Duration limit);
  /** Applies a whole configuration as the operator, repeating until it is committed. */
  void applyConfiguration(const std::string& document, base::Duration limit);
  /** One line on each process. */
  std::string status() const;

  static laboratory::ProcessIdentity identityOf(const laboratory::FleetProcess& process);

 private:
  laboratory::FleetState state_;
};

}  // namespace switchsaddle::lab
