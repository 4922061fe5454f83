#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/forwarding.h"

namespace switchsaddle::configuration {

/** Time limits, which must be equal on all nodes of a fleet; docs/ARCHITECTURE.md lists them. */
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
  /** Time for which a front keeps serving while a majority of core addresses refuse connections. */
  base::Duration core_refused_grace = std::chrono::seconds(60);
  /** Time limit of a graceful shutdown; requests that are still in flight are then aborted. */
  base::Duration stop_deadline = std::chrono::seconds(25);
  /** Time for which a front in graceful shutdown accepts new forwarded requests. */
  base::Duration stop_notice{};
  /**
   * Time for which a core member must be unresponsive before an announced core without stored data
   * may replace it.
   */
  base::Duration core_replacement_timeout = std::chrono::seconds(10);

  bool operator==(const TimeSettings&) const = default;
};

/** Behaviour of a front whose session has expired. */
enum class ExpiredSessionPolicy : std::uint8_t {
  /** Rejects new requests, since a newer configuration may be in force. */
  Refuse,
  /** Serves with the last configuration and worker view, for an unlimited time. */
  Serve,
};

/** Settings of forwarding, which must be equal on all fronts of a deployment. */
struct ForwardingSettings {
  /** Dispatch requests with long and with short prompts to different workers; docs/ROUTING.md. */
  bool work_lanes = false;
  /** Place requests by the load reports of all fronts; docs/design/placement.md. */
  bool fleet_loads = false;
  /** Retry budget: share of a pool's requests within ten seconds that may be retried. */
  double retry_share = 0.1;
  /** Number of retries within ten seconds that are allowed beyond the share. */
  double retry_extra = 0;
  QuotaBounds quotas;

  bool operator==(const ForwardingSettings&) const = default;
};

/** What the machine lends this process; bounds on what peers may make it hold follow from it. */
struct ResourceSettings {
  /** Memory that the process may use at most, in MiB. */
  std::uint32_t memory_mb = 1'024;
  /** Descriptors that the process may open; zero for the limit that the system sets. */
  std::uint32_t descriptors = 0;

  bool operator==(const ResourceSettings&) const = default;
};

/** Settings of one process, from its settings file and command line. */
struct Settings {
  /** Listening address for peers. */
  base::NodeAddress peer_address;
  /** Listening address for callers and operators. */
  base::NodeAddress http_address;
  std::string zone;
  std::string region;
  /** Folder of stored data and log dumps. */
  std::string data_folder;
  /** Peer addresses of core processes. */
  std::vector<base::NodeAddress> seeds;
  base::NodeAddress platform_address;
  /** Lower-case hexadecimal SHA-256 of the initial operators' keys. */
  std::vector<std::string> operator_hashes;
  /** Core only: initial members of a new fleet; ignored once an acceptor set is stored. */
  std::vector<base::NodeAddress> initial_cores;
  TimeSettings times;
  /** Additional listening address for readiness checks; empty for none. */
  base::NodeAddress readiness_address;
  /** Port of all nodes for peers; replaces the ports of seeds and initial cores. Zero for none. */
  std::uint16_t fleet_peer_port = 0;
  /** Core only: this is the first start of the fleet, whose initial cores are the seeds. */
  bool first_start = false;
  /**
   * Core only: number of cores, and of zones, whose simultaneous loss the core must tolerate. The
   * acceptor set grows to 2n + 1 members and spreads over zones as far as cores are available. If
   * both are zero, the initial set is kept.
   */
  std::uint32_t tolerated_core_losses = 0;
  std::uint32_t tolerated_zone_losses = 0;
  /** Core only: number of regions whose loss the fleet must tolerate. */
  std::uint32_t tolerated_region_losses = 0;
  /**
   * Core only: read the platform's worker list once at start-up, before the watcher lease is
   * acquired, so that a fleet without any stored state serves earlier.
   */
  bool list_before_lease = false;
  /** Name of the interfaces to callers, workers, operators and the platform; empty: default. */
  std::string dialect;
  ExpiredSessionPolicy lapsed_session = ExpiredSessionPolicy::Refuse;
  ForwardingSettings forwarding;
  ResourceSettings limits;
};

/**
 * Parses a settings file: JSON with comments. Unknown keys are faults.
 * @param faults receives all faults found; the result is valid only if there is none.
 */
Settings parseSettings(const std::string& text, std::vector<Fault>& faults);

/** @return whether a settings file ends before it is complete, or is empty. */
bool isCutSettingsFile(const std::string& text);

/** @return the names of changed settings that take effect only after a restart: all but `seeds`. */
std::vector<std::string> settingsThatNeedRestart(const Settings& before, const Settings& after);

/**
 * Checks complete settings, with the command line applied.
 * @param role "front" or "core".
 * @return all faults.
 */
std::vector<Fault> checkSettings(const Settings& settings, const std::string& role);

}  // namespace switchsaddle::configuration
