#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/fleet/process_control.h"

namespace switchsaddle::testbed_commands {

/** Lock on a fleet's directory, so that two commands do not change fleet.json at the same time. */
class FleetLock {
 public:
  /** Blocks until the lock of this directory is free. Throws base::Error. */
  explicit FleetLock(const std::string& directory);
  ~FleetLock();
  FleetLock(const FleetLock&) = delete;
  FleetLock& operator=(const FleetLock&) = delete;

 private:
  int file_ = -1;
};

/** The settings file of a core or front for its next start. */
using SettingsSource =
    std::function<std::string(const testbed::FleetState&, const testbed::FleetProcess&)>;

/**
 * A fleet of real processes in one directory. Its state is kept in fleet.json, so that each command
 * finds the processes by pid and start time. Each change writes a new file and renames it.
 */
class Fleet {
 public:
  explicit Fleet(testbed::FleetState state) : state_(std::move(state)) {}
  /** Reads DIRECTORY/fleet.json. Throws base::Error. */
  static Fleet load(const std::string& directory);
  void save() const;

  /** From now on settings files have this text; by default testbed::settingsText(). */
  void setSettingsSource(SettingsSource source) { settings_source_ = std::move(source); }
  /** The limits of processes that are started from now on. */
  void setLaunchLimits(const testbed::LaunchLimits& limits) { launch_limits_ = limits; }

  testbed::FleetState& state() { return state_; }
  /** The processes with these names; "cores", "fronts", "workers" and "all" are groups. */
  std::vector<testbed::FleetProcess*> named(const std::vector<std::string>& names);
  /** All processes of a role. */
  std::vector<testbed::FleetProcess*> ofRole(testbed::ProcessRole role);

  /** Creates the folders and settings files of all processes. */
  void prepare();
  void writeSettings(const testbed::FleetProcess& process) const;
  /** Starts a process that does not run. Throws base::Error if it does. */
  void start(testbed::FleetProcess& process);
  /** Starts a process anew, also while its predecessor still runs. */
  void startSuccessor(testbed::FleetProcess& process);
  /** Sends the signal to all, then waits until each has the condition. Throws base::Error if one
   * does not have it within `limit`. */
  void signalAll(const std::vector<testbed::FleetProcess*>& processes, int signal_number,
                 testbed::ProcessCondition condition, base::Duration limit);
  /** Deletes the data of a process that is not running. Throws base::Error.
   */
  void wipe(const testbed::FleetProcess& process) const;
  /** Waits until each answers 200 on its readiness path. Throws base::Error if one exits or the
   * limit passes. */
  void waitReady(const std::vector<testbed::FleetProcess*>& processes, base::Duration limit);
  /** Applies a complete configuration as the operator; resends the change until it is committed. */
  void applyConfiguration(const std::string& document, base::Duration limit);
  /** Sends a change to the cores in turn until one acknowledges it. Throws base::Error. */
  void submit(const http::Request& change, base::Duration limit);
  /** One line for each process: name, role, zone, address, pid, condition and readiness. */
  std::string status() const;

  static testbed::ProcessIdentity identityOf(const testbed::FleetProcess& process);

 private:
  testbed::FleetState state_;
  SettingsSource settings_source_;
  testbed::LaunchLimits launch_limits_;
};

}  // namespace switchsaddle::testbed_commands
