#pragma once

#include <string>

#include "fleet.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed_commands {

/** What a fleet is brought up from. */
struct FleetUp {
  std::string directory;
  /** Layout file. */
  std::string layout;
  /** Configuration file applied once the cores are ready; may be empty. */
  std::string configuration;
  /** The daemon's program; empty: the one beside this. */
  std::string switchsaddle;
  /** First two octets of every address; empty: the layout's. */
  std::string network;
  /** Limit of each wait. */
  base::Duration ready_limit = std::chrono::seconds(30);
};

/** Starts a fleet and waits until it is ready. Throws base::Error. */
Fleet bringUp(const FleetUp& order);

}  // namespace switchsaddle::testbed_commands
