#include "keys.h"

namespace switchsaddle::registers {

using std::chrono::seconds;

std::string keyName(std::size_t index) {
  return "claim/" + std::to_string(index);
}

bool writeKeys(TestCluster& cluster) {
  std::size_t written = 0;
  for (std::size_t index = 0; index < KeyCount; ++index) {
    cluster.core(0).proposer->change(
        keyName(index), [index](const std::string&) { return std::to_string(index); },
        [&written](const RegisterOutcome& outcome) { written += outcome.changed ? 1 : 0; });
  }
  return cluster.world.runUntil([&] { return written == KeyCount; }, seconds(60));
}

std::size_t countIntact(TestCluster& cluster, std::size_t reader) {
  std::size_t intact = 0;
  std::size_t ended = 0;
  for (std::size_t index = 0; index < KeyCount; ++index) {
    cluster.core(reader).proposer->read(keyName(index),
                                        [&intact, &ended, index](const RegisterOutcome& outcome) {
                                          ++ended;
                                          intact += outcome.value == std::to_string(index) ? 1 : 0;
                                        });
  }
  cluster.world.runUntil([&] { return ended == KeyCount; }, seconds(60));
  return intact;
}

}  // namespace switchsaddle::registers
