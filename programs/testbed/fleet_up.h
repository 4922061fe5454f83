#pragma once

#include <string>

#include "fleet.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed_commands {

/** Parameters for starting a fleet. */
struct FleetStartOptions {
  std::string directory;
  /** Path of the layout file. */
  std::string layout;
  /** Path of the configuration file applied when the cores are ready; empty for none. */
  std::string configuration;
  /** Path of the switchsaddle program; empty for the one in the folder of this program. */
  std::string switchsaddle;
  /** First two octets of every address; empty for the network of the layout. */
  std::string network;
  /** Time limit for each group of processes to be ready. */
  base::Duration ready_limit = std::chrono::seconds(30);
};

/** Starts a fleet and waits until it is ready. Throws base::Error. */
Fleet bringUp(const FleetStartOptions& options);

}  // namespace switchsaddle::testbed_commands
