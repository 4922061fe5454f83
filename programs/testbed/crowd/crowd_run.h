#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "soak/soak_fleet.h"
#include "switchsaddle/testbed/crowd/crowd.h"
#include "switchsaddle/testbed/fleet/process_usage.h"
#include "switchsaddle/testbed/soak/run_ledger.h"

namespace switchsaddle::testbed_commands {

/** What the machine of each daemon lends it, and how many clients misbehave. */
struct CrowdRunOptions {
  SoakFleetOptions fleet;
  std::size_t memory_mb = 64;
  std::size_t descriptors = 400;
  testbed::CrowdSize size;
  /** Whether the daemons get no processor time while the crowds arrive. */
  bool frozen = false;
};

/** What was seen of one crowd. */
struct CrowdReport {
  /** What must hold and did not; empty if all did. */
  std::vector<std::string> violations;
  std::uint64_t bytes_sent = 0;
  std::uint64_t closed_connections = 0;
  /** The largest usage of each daemon, by its name. */
  std::map<std::string, testbed::ProcessUsage> usage;
};

/**
 * Sends crowds to a fleet of its own and checks that every daemon lives, stays within the memory
 * and the descriptors of its machine, answers an ordinary request while they are still there,
 * and, once they have left, the largest request that is allowed. Blocks.
 */
class CrowdRun {
 public:
  explicit CrowdRun(CrowdRunOptions options);

  /** Sends crowds of all these kinds at the same time. */
  CrowdReport run(const std::vector<testbed::CrowdKind>& kinds);
  /** @return the requests that the crowds are made of. */
  testbed::CrowdRequests requests() const;

 private:
  base::NodeAddress addressOf(testbed::CrowdListener listener);
  void sendCrowds(const std::vector<testbed::CrowdKind>& kinds, CrowdReport& report);
  void signalDaemons(int signal_number);
  void sample(CrowdReport& report);
  void checkBounds(CrowdReport& report) const;
  /** Checks that both roles answer ordinary requests. */
  void checkAnswers(const std::string& when, CrowdReport& report);
  /** @return whether the request is answered 200 in one of several attempts. */
  bool isAnswered(const base::NodeAddress& address, const std::string& request) const;

  CrowdRunOptions options_;
  testbed::RunLedger ledger_;
  SoakFleet fleet_;
  std::vector<std::string> daemons_;
};

}  // namespace switchsaddle::testbed_commands
