#pragma once

#include <cstdint>
#include <string>

namespace switchsaddle::lab {

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
};

/** Sends the load, waits for its answers and returns the number of calls. Throws base::Error. */
std::uint64_t runLoad(const LoadOrder& order);

}  // namespace switchsaddle::lab
