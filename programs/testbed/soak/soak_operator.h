#pragma once

#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/testbed/soak/control_history.h"
#include "switchsaddle/testbed/soak/run_ledger.h"

namespace switchsaddle::testbed_commands {

/**
 * One of several operators that change and read the same configuration at any node. Gives a node up
 * after a second and resends to another one, and records what it asked for and was told. Blocks.
 */
class SoakOperator {
 public:
  /** @param ledger its clock is the one of the history; outlives the operator, as does the history.
   */
  SoakOperator(std::vector<base::NodeAddress> nodes, std::string key, std::uint64_t number,
               testbed::RunLedger& ledger, testbed::ControlHistory& history);

  /** Makes one change, orders or ends an evacuation, or reads the configuration. */
  void operate(base::RandomSource& random);
  /** Reads the configuration at a random node. */
  void read(base::RandomSource& random);

 private:
  /** Makes one change on the version that it knows; a conflict tells it the version in force. */
  void change(base::RandomSource& random);
  /** Begins or ends the evacuation of a zone without workers. Each resend has an identifier of its
   * own, as if the operator could not name its order. */
  void evacuate(base::RandomSource& random);
  testbed::ControlOperation begin(testbed::ControlOperationKind kind);
  void end(testbed::ControlOperation operation, testbed::ControlOutcome outcome,
           std::uint64_t version);
  /** Sends the request to a random node. @return its answer, if there was one within a second. */
  std::optional<http::Response> send(base::RandomSource& random, http::Request request) const;

  std::vector<base::NodeAddress> nodes_;
  std::string key_;
  std::string name_;
  testbed::RunLedger& ledger_;
  testbed::ControlHistory& history_;
  std::uint64_t known_version_ = 1;
  int operations_ = 0;
};

}  // namespace switchsaddle::testbed_commands
