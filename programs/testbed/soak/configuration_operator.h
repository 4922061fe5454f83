#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/testbed/soak/control_history.h"
#include "switchsaddle/testbed/soak/run_ledger.h"

namespace switchsaddle::testbed_commands {

/** What an operator of a soak needs. */
struct OperatorContext {
  /** The nodes that serve operators at the moment. */
  std::function<std::vector<base::NodeAddress>()> nodes;
  std::string key;
  std::uint64_t number = 0;
  /** Its clock is the one of the history; outlives the operator, as does the history. */
  testbed::RunLedger& ledger;
  testbed::ControlHistory& history;
  /** Called with the node that acknowledged a change, before the operator goes on. */
  std::function<void(const base::NodeAddress&)> on_acknowledged;
};

/** One of several operators that change and read the same configuration at any node. Blocks. */
class ConfigurationOperator {
 public:
  ConfigurationOperator() = default;
  virtual ~ConfigurationOperator() = default;
  ConfigurationOperator(const ConfigurationOperator&) = delete;
  ConfigurationOperator& operator=(const ConfigurationOperator&) = delete;

  /** Makes one change, orders or ends an evacuation, or reads the configuration. */
  virtual void operate(base::RandomSource& random) = 0;
  /** Reads the configuration at a random node. */
  virtual void read(base::RandomSource& random) = 0;
};

using OperatorPtr = std::unique_ptr<ConfigurationOperator>;

}  // namespace switchsaddle::testbed_commands
