#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** Time limits that all nodes of a fleet must share; defaults are those of docs/ARCHITECTURE.md. */
struct TimeSettings {
  base::Duration session_front_limit = std::chrono::milliseconds(1'000);
  base::Duration session_core_limit = std::chrono::milliseconds(1'500);
  base::Duration session_renewal = std::chrono::milliseconds(250);
  base::Duration core_silence = std::chrono::milliseconds(300);
  base::Duration lease_duration = std::chrono::milliseconds(2'000);
  base::Duration register_deadline = std::chrono::milliseconds(2'000);
  base::Duration acknowledgement_deadline = std::chrono::milliseconds(2'000);
  base::Duration gossip_interval = std::chrono::milliseconds(1'000);
  base::Duration platform_poll = std::chrono::milliseconds(500);
  /** How long a front serves on while a majority of core addresses refuse connections; zero: not at
   * all. */
  base::Duration core_refused_grace = std::chrono::seconds(60);
  base::Duration stop_deadline = std::chrono::seconds(25);
  /** A core member silent for this long may be replaced by an announced empty one. */
  base::Duration core_replacement_silence = std::chrono::seconds(10);
};

/** What one process learns from its settings file and flags. */
struct Settings {
  /** Where peers reach this process. */
  base::NodeAddress peer_address;
  /** Callers' and operators' HTTP address. */
  base::NodeAddress http_address;
  std::string zone;
  std::string region;
  std::string data_folder;
  /** Peer addresses of core processes. */
  std::vector<base::NodeAddress> seeds;
  base::NodeAddress platform_address;
  /** Lower-case hexadecimal SHA-256 of the first operators' keys. */
  std::vector<std::string> operator_hashes;
  /** Core only: the first members of a new fleet; ignored once an acceptor set is stored. */
  std::vector<base::NodeAddress> initial_cores;
  TimeSettings times;
};

/** Parses a settings file (JSON, unknown keys refused). Appends every fault. */
Settings parseSettings(const std::string& text, std::vector<Fault>& faults);

/** Faults of settings for a role ("front" or "core") after flags have been applied. */
std::vector<Fault> checkSettings(const Settings& settings, const std::string& role);

}  // namespace switchsaddle::configuration
