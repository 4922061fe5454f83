#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fleet.h"
#include "soak/soak_dialect.h"
#include "soak/soak_platform.h"
#include "switchsaddle/testbed/disk/disk_faults.h"
#include "switchsaddle/testbed/fleet/process_control.h"
#include "switchsaddle/testbed/soak/run_ledger.h"
#include "switchsaddle/testbed/soak/wire_client.h"

namespace switchsaddle::testbed_commands {

/** The size and behaviour of a soak's fleet. */
struct SoakFleetOptions {
  std::string directory;
  /** Path of the switchsaddle program. */
  std::string program;
  /** First two octets of every address. */
  std::string network;
  int cores = 5;
  int fronts = 4;
  int workers = 9;
  /** How often all cores are killed and started again before the first configuration. */
  int first_start_kills = 0;
  bool faulty_workers = true;
  std::uint64_t seed = 1;
  /** JSON of the settings' "limits" of every daemon. */
  std::string limits_json = "{}";
  /** Whether the daemons speak the interfaces of the users' platform. */
  bool platform_dialect = false;
  /** The folder of the platform's settings templates. */
  std::string templates = "deploy";
  /** Whether cores run on disks that can be slow, stall and fill up. */
  bool faulty_disks = false;
  /** Time of a sync on such a disk. */
  int sync_ms = 5;
  testbed::LaunchLimits launch_limits;
};

/** @return the absolute path of the program; if it is empty, of the one beside this program. */
std::string switchsaddleProgram(const std::string& program);

/**
 * The processes of a soak: cores and fronts as daemons, platform and workers as stand-ins within
 * this process. Starts all on construction and kills the daemons on destruction. Thread-safe, as
 * long as each process is disturbed by one thread at a time.
 */
class SoakFleet {
 public:
  /** @param ledger outlives the fleet. Throws base::Error if a process does not become ready. */
  SoakFleet(SoakFleetOptions options, testbed::RunLedger& ledger);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  std::vector<testbed::FrontTarget> fronts();
  std::vector<base::NodeAddress> controlAddresses();
  std::vector<std::string> namesOf(testbed::ProcessRole role);
  /** All cores and fronts, as they were started last. */
  std::vector<testbed::FleetProcess> daemons();
  /** The process with this name, as it was started last. */
  testbed::FleetProcess process(const std::string& name);
  const std::vector<SoakWorker>& workers() const { return workers_; }
  const SoakDialect& dialect() const { return *dialect_; }
  bool hasFaultyDisks() const { return options_.faulty_disks; }

  testbed::ProcessIdentity identityOf(const std::string& name);
  void signal(const std::string& name, int signal_number);
  /**
   * Sends SIGHUP. Where launches let it through, a process whose libraries are still being loaded
   * gets none: it would end, whatever its program does.
   */
  void hangUp(const std::string& name);
  /** @return whether the process ended within the limit. */
  bool waitForEnd(const std::string& name, base::Duration limit);
  void startAgain(const std::string& name);
  /** Starts a process anew while its predecessor may still run. */
  void startSuccessor(const std::string& name);
  /** Empties the disk of a process that is not running. */
  void wipe(const std::string& name);
  /**
   * Starts a new core with an empty disk at another address in place of one that has ended.
   * @return its name.
   */
  std::string replaceCore(const std::string& name);
  /** Writes the settings file anew, as it is for the cores of the moment. */
  void rewriteSettings(const std::string& name);
  /** Lets the disk of a core be stalled or full, or take `slowdown` times as long for a sync. */
  void setDisk(const std::string& name, const testbed::DiskFaults& faults, int slowdown = 1);
  /** @return the name of the core that serves operators at the address; empty if there is none. */
  std::string coreAt(const base::NodeAddress& address);

 private:
  /** Lets cores run on disks of the test bed. */
  void prepareDisks();
  void setDiskOf(const testbed::FleetProcess& core, testbed::DiskFaults faults, int slowdown) const;
  void startWorkers();
  void startDaemons();
  void killDaemons();
  void startAll(testbed::ProcessRole role);
  void waitReady(testbed::ProcessRole role);
  /** Kills all cores at the same moment and starts them again within a second, several times. */
  void killCoresOfTheFirstStart();
  std::string layout() const;

  SoakFleetOptions options_;
  testbed::RunLedger& ledger_;
  std::unique_ptr<SoakDialect> dialect_;
  std::mutex mutex_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<SoakWorker> workers_;
  std::unique_ptr<SoakPlatform> platform_;
};

}  // namespace switchsaddle::testbed_commands
