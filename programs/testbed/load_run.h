#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace switchsaddle::testbed_commands {

/** Parameters of a load sent to a fleet. */
struct LoadOptions {
  /** Path of the fleet's fleet.json. */
  std::string fleet;
  std::string load;
  /** Path of the record file to create; must not exist. */
  std::string record;
  int seconds = 30;
  std::uint64_t seed = 1;
  /** Send to the workers instead of the fronts. */
  bool direct = false;
  /** Load bursts in the format of testbed::parseLoadBurst(). */
  std::vector<std::string> bursts;
};

/** Sends the load, waits for its answers and returns the number of calls. Throws base::Error.
 */
std::uint64_t runLoad(const LoadOptions& options);

}  // namespace switchsaddle::testbed_commands
