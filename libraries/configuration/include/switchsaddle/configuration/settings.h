#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/forwarding.h"

namespace switchsaddle::configuration {

/** Time limits that all nodes of a fleet must share; defaults are those of docs/ARCHITECTURE.md. */
struct TimeSettings {
  base::Duration session_front_limit = std::chrono::milliseconds(1'000);
  base::Duration session_core_limit = std::chrono::milliseconds(1'500);
  base::Duration session_renewal = std::chrono::milliseconds(250);
  base::Duration core_timeout = std::chrono::milliseconds(300);
  base::Duration lease_duration = std::chrono::milliseconds(2'000);
  base::Duration register_deadline = std::chrono::milliseconds(2'000);
  base::Duration acknowledgement_deadline = std::chrono::milliseconds(2'000);
  base::Duration gossip_interval = std::chrono::milliseconds(1'000);
  base::Duration platform_poll = std::chrono::milliseconds(500);
  /** How long a front serves on while a majority of core addresses refuse connections; zero: not at
   * all. */
  base::Duration core_refused_grace = std::chrono::seconds(60);
  base::Duration stop_deadline = std::chrono::seconds(25);
  /** How long a stopping front still takes new forwarded requests, until callers have noticed. */
  base::Duration stop_notice{};
  /** A core member silent for this long may be replaced by an announced empty one. */
  base::Duration core_replacement_timeout = std::chrono::seconds(10);

  bool operator==(const TimeSettings&) const = default;
};

/** What a front does whose session has lapsed. */
enum class LapsedSession : std::uint8_t {
  /** Refuses new work, since a newer configuration may be in force. */
  Refuse,
  /** Serves on by its last configuration and worker list, without a bound on time. */
  Serve,
};

/** How a front forwards, and what the operators of a deployment allow its fronts together. */
struct ForwardingSettings {
  /** Keep kinds of work with long prompts and with short ones on different workers;
   * docs/ROUTING.md.
   */
  bool work_lanes = false;
  /** Place by what all fronts have under way at workers; docs/design/placement.md. */
  bool fleet_loads = false;
  /** Repeats as a share of a pool's requests, and besides, over ten seconds. */
  double retry_share = 0.1;
  double retry_extra = 0;
  QuotaBounds quotas;

  bool operator==(const ForwardingSettings&) const = default;
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
  /** Where readiness is asked for besides http_address; empty: nowhere. */
  base::NodeAddress readiness_address;
  /** The port on which every node of the fleet listens for its peers: seeds and initial cores are
   * then told with whatever port, and this one is put in its place. Zero: they are told whole. */
  std::uint16_t fleet_peer_port = 0;
  /** Core only: this is the first start of the whole fleet, whose first cores are the seeds. */
  bool first_start = false;
  /** Core only: cores, and zones, that may be lost at once; the acceptor set grows to twice as many
   * and one, and is spread so that zones can be lost, as far as there are cores. Both zero: it
   * stays as it was founded. */
  std::uint32_t tolerated_core_losses = 0;
  std::uint32_t tolerated_zone_losses = 0;
  /** Core only: reads the platform's list once at its start, without waiting for the watcher's
   * lease, so that a fleet that lost all memory serves sooner. */
  bool list_before_lease = false;
  /** The interfaces spoken towards callers, workers, operators and the platform; empty: the
   * product's own. */
  std::string dialect;
  LapsedSession lapsed_session = LapsedSession::Refuse;
  ForwardingSettings forwarding;
};

/** Parses a settings file (JSON, unknown keys refused). Appends every fault. */
Settings parseSettings(const std::string& text, std::vector<Fault>& faults);

/** Names of the settings that differ and take effect only at the next start: all but `seeds`. */
std::vector<std::string> settingsThatNeedRestart(const Settings& before, const Settings& after);

/** Faults of settings for a role ("front" or "core") after flags have been applied. */
std::vector<Fault> checkSettings(const Settings& settings, const std::string& role);

}  // namespace switchsaddle::configuration
