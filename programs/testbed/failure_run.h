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

/** The kinds of failures that a FailureRun can inject. */
std::vector<std::string> failureKinds();

/**
 * Injects failures into a running fleet at times drawn from a seed. Leaves enough processes running
 * for the fleet to serve: a majority of the cores (except for `cores-kill-all`), one front, and
 * half of each worker pool. Runs on one thread; the threads of operators use only the record.
 */
class FailureRun {
 public:
  FailureRun(Fleet& fleet, OrderRecord& record, std::uint64_t seed, std::vector<std::string> kinds,
             std::vector<std::string> tenants);
  ~FailureRun();
  FailureRun(const FailureRun&) = delete;
  FailureRun& operator=(const FailureRun&) = delete;

  /** Injects failures for this time. */
  void injectFailures(base::Duration duration);
  /** Ends all injected failures, starts processes that have exited and waits until the fleet is
   * ready. */
  void recover();

 private:
  using Clock = std::chrono::steady_clock;
  /** Ends an injected failure; returns false if it has to be retried. */
  using Undo = std::function<bool()>;

  void injectFailure();
  void runDueUndos(bool all);
  void later(base::Duration delay, Undo undo);
  base::Duration between(int least_ms, int most_ms);

  /** A random process of the role that may fail now; null if there is none. */
  testbed::FleetProcess* pick(testbed::ProcessRole role);
  bool mayFail(const testbed::FleetProcess& process) const;
  void kill(testbed::FleetProcess& process, base::Duration down);
  void freeze(testbed::FleetProcess& process, base::Duration frozen);
  void stop(testbed::FleetProcess& process, base::Duration down);
  void killAllCores();
  void orderFault();
  void drainWorker();
  void evacuateZone();
  void revokeKey();
  bool sendFault(const testbed::FleetProcess& worker, const std::string& body);
  /** Addresses that operators send their orders to: every core and front. */
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
  /** Names of the processes with an injected failure; "zones" and "keys" stand for orders of
   * operators. */
  std::set<std::string> affected_;
  std::multimap<Clock::time_point, Undo> undos_;
  std::vector<std::thread> operators_;
  int orders_ = 0;
};

}  // namespace switchsaddle::testbed_commands
