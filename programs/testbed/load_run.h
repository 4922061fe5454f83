#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace switchsaddle::testbed_commands {

/** One load on a fleet. */
struct LoadOrder {
  /** The fleet's fleet.json. */
  std::string fleet;
  std::string load;
  /** File to record into; must not exist. */
  std::string record;
  int seconds = 30;
  std::uint64_t seed = 1;
  /** Straight to the workers, without the fronts. */
  bool direct = false;
  /** Times in which a tenant sends more, each as testbed::parseLoadBurst() reads it. */
  std::vector<std::string> bursts;
};

/** Sends the load, waits for its answers and returns the number of calls. Throws base::Error. */
std::uint64_t runLoad(const LoadOrder& order);

}  // namespace switchsaddle::testbed_commands
