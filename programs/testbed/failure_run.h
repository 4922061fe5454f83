#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "order_record.h"
#include "switchsaddle/base/random.h"

namespace switchsaddle::testbed_commands {

/** The names of all disturbances. */
std::vector<std::string> failureKinds();

/**
 * Disturbs a running fleet at seeded moments until it is told to heal. Keeps so much alive that the
 * fleet can go on: a majority of cores but for `cores-kill-all`, one front, and half of each pool
 * of workers. One thread, beside the operators' threads, which use no state of this object but the
 * record.
 */
class FailureRun {
 public:
  FailureRun(Fleet& fleet, OrderRecord& record, std::uint64_t seed, std::vector<std::string> kinds,
             std::vector<std::string> tenants);
  ~FailureRun();
  FailureRun(const FailureRun&) = delete;
  FailureRun& operator=(const FailureRun&) = delete;

  /** Disturbs the fleet for this long. */
  void disturb(base::Duration duration);
  /** Ends all disturbances, starts what is down and waits until the fleet is ready. */
  void heal();

 private:
  using Clock = std::chrono::steady_clock;
  /** What ends a disturbance; returns false where it has to be tried again. */
  using Undo = std::function<bool()>;

  void disturbOnce();
  void runDueUndos(bool all);
  void later(base::Duration delay, Undo undo);
  base::Duration between(int least_ms, int most_ms);

  /** A process of the role that may be taken away now; null where there is none. */
  testbed::FleetProcess* pick(testbed::ProcessRole role);
  bool mayDisturb(const testbed::FleetProcess& process) const;
  void kill(testbed::FleetProcess& process, base::Duration down);
  void freeze(testbed::FleetProcess& process, base::Duration frozen);
  void stop(testbed::FleetProcess& process, base::Duration down);
  void killAllCores();
  void orderFault();
  void drainWorker();
  void evacuateZone();
  void revokeKey();
  bool sendFault(const testbed::FleetProcess& worker, const std::string& body);
  /** Where operators send their orders: every core and front. */
  std::vector<base::NodeAddress> nodes();
  std::string nextOperator();
  bool startAgain(const std::string& name);
  void noteLeaving(const testbed::FleetProcess& process, const char* event);

  Fleet& fleet_;
  OrderRecord& record_;
  base::RandomSource random_;
  std::string name_;
  std::vector<std::string> kinds_;
  std::vector<std::string> tenants_;
  /** Processes disturbed now, by name. */
  std::set<std::string> disturbed_;
  std::multimap<Clock::time_point, Undo> undos_;
  std::vector<std::thread> operators_;
  int orders_ = 0;
};

}  // namespace switchsaddle::testbed_commands
