#pragma once

#include <atomic>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_actions.h"
#include "soak/soak_fleet.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/testbed/soak/control_history.h"
#include "switchsaddle/testbed/soak/interruption.h"

namespace switchsaddle::testbed_commands {

/** The kinds of disturbances of a soak. */
std::vector<std::string> soakDisturbanceKinds();

/** @return whether every request that was taken must be answered despite the kinds. */
bool answersAreOwed(const std::vector<std::string>& kinds);

/**
 * Disturbs a soak's fleet on several threads, so that signals, restarts and changes overlap: series
 * of SIGTERMs with SIGHUPs between them, kills also during a shutdown, SIGHUPs during a start,
 * successors that are started before their predecessor has ended, freezes, rows of short stops,
 * restarts of workers and operators that change, read and evacuate. Half of the fronts and a
 * majority of the cores stay undisturbed, except when all cores are killed at once. Seeded; writes
 * each disturbance to a file, with the seconds since the ledger was created.
 */
class SoakDisturbances {
 public:
  /**
   * @param fleet outlives this object, as do `ledger` and `history`.
   * @param threads number of disturbances that overlap.
   */
  SoakDisturbances(SoakFleet& fleet, testbed::RunLedger& ledger, testbed::ControlHistory& history,
                   std::vector<std::string> kinds, int threads, std::uint64_t seed,
                   const std::string& file);
  ~SoakDisturbances();
  SoakDisturbances(const SoakDisturbances&) = delete;
  SoakDisturbances& operator=(const SoakDisturbances&) = delete;

  /** Ends what is going on: wakes and starts all processes. */
  void stop();

 private:
  void disturb(std::uint64_t seed);
  void disturbOnce(const std::string& kind, base::RandomSource& random);
  void disturbProcess(const std::string& kind, base::RandomSource& random);
  void act(const std::string& kind, const std::string& name, SoakActions& actions);
  void disturbTogether(const std::string& kind, const std::vector<std::string>& names,
                       SoakActions& actions);
  SoakActions actionsOf(base::RandomSource& random);
  /** Kills the core that has just acknowledged a change, if that is due. */
  void onAcknowledged(const base::NodeAddress& node, base::RandomSource& random);
  /** Operates the configuration until the disturbances end. */
  void operate(std::uint64_t seed);
  /** Reserves a process of the role that may be disturbed; empty if there is none. */
  std::string reserve(testbed::ProcessRole role, base::RandomSource& random);
  /** The processes of the role of which one may be reserved. Called under the lock. */
  std::vector<std::string> reservable(testbed::ProcessRole role);
  /** Reserves each process of the role with this probability. */
  std::vector<std::string> reserveSeveral(testbed::ProcessRole role, double share,
                                          base::RandomSource& random);
  /** Reserves the core that serves operators at the address; empty if it must not be disturbed. */
  std::string reserveCoreAt(const base::NodeAddress& address);
  /** Reserves all processes of the role; empty if one of them is disturbed already. */
  std::vector<std::string> reserveAll(testbed::ProcessRole role);
  void release(const std::string& name);
  void note(const std::string& event, const std::string& subject);
  bool pause(base::RandomSource& random, int least_ms, int most_ms);
  bool includes(const std::string& kind) const;

  SoakFleet& fleet_;
  testbed::RunLedger& ledger_;
  testbed::ControlHistory& history_;
  std::ofstream record_;
  std::vector<std::string> kinds_;
  testbed::Interruption interruption_;
  std::mutex mutex_;
  std::set<std::string> reserved_;
  /** At most one core at a time is without its disk or has not caught up. */
  std::atomic<bool> losing_disk_ = false;
  /** The core that acknowledges the next change is killed then. */
  std::atomic<bool> kills_next_acknowledger_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace switchsaddle::testbed_commands
