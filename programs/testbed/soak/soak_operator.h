#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/testbed/soak/run_ledger.h"

namespace switchsaddle::testbed_commands {

/**
 * One of several operators that change the same configuration. Resends a change without a clear
 * answer to other nodes under its identifier, and records which version acknowledged it. Blocks.
 */
class SoakOperator {
 public:
  /** @param ledger outlives the operator. */
  SoakOperator(std::vector<base::NodeAddress> nodes, std::string key, std::uint64_t number,
               testbed::RunLedger& ledger);

  /** Makes one change on the version that it knows; a conflict tells it the version in force. */
  void change(base::RandomSource& random);

 private:
  std::vector<base::NodeAddress> nodes_;
  std::string key_;
  std::string name_;
  testbed::RunLedger& ledger_;
  std::uint64_t known_version_ = 1;
  int changes_ = 0;
};

}  // namespace switchsaddle::testbed_commands
