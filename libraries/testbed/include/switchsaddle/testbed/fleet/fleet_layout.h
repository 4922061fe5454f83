#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/testbed/workers/platform_list.h"

namespace switchsaddle::testbed {

/** A core or front of a layout. */
struct LayoutNode {
  std::string name;
  std::string zone;
};

/** A worker of a layout with its additional command-line arguments. */
struct LayoutWorker {
  ListedWorker listed;
  std::vector<std::string> arguments;
};

/** The processes of a fleet, as read from a layout file. */
struct FleetLayout {
  /** The first two octets of every address, such as "127.40". */
  std::string network;
  std::string region;
  std::string operator_key;
  std::vector<LayoutNode> cores;
  std::vector<LayoutNode> fronts;
  std::vector<LayoutWorker> workers;
  int platform_lag_ms = 1'000;
  int crashed_listed_ms = 8'000;
  /** JSON of the settings' "times", copied unchanged into each settings file. */
  std::string times_json = "{}";
  /** JSON of the settings' "limits", copied likewise. */
  std::string limits_json = "{}";
  /** Losses of cores that the fleet bears at once; zero keeps the initial acceptor set. */
  int tolerated_core_losses = 0;
};

/**
 * Parses a layout. Nodes are {"count": N}, assigned to "zones" in rotation, or explicit lists of
 * {name, zone}; workers are groups {prefix, count, service, models, stage, slots, arguments}.
 * Throws base::Error with MalformedJson, UnknownField, MissingField or InvalidValue.
 */
FleetLayout parseFleetLayout(const std::string& text);

/** The role of a process in a fleet. */
enum class ProcessRole : std::uint8_t { Platform, Worker, Core, Front };

std::string roleName(ProcessRole role);

/** One process of a fleet: its addresses, its command line and, while it runs, its identity. */
struct FleetProcess {
  std::string name;
  ProcessRole role = ProcessRole::Worker;
  std::string zone;
  base::NodeAddress peer_address;
  base::NodeAddress http_address;
  std::string data_folder;
  /** Set for a core that replaced another one, after the first start of the fleet. */
  bool replacement = false;
  std::vector<std::string> command;
  /** 0 if the process was never started. */
  std::int64_t pid = 0;
  /** Start time from /proc, in clock ticks since boot; detects a reused pid. */
  std::uint64_t start_ticks = 0;
};

/** The content of fleet.json. */
struct FleetState {
  std::string directory;
  std::string region;
  std::string operator_key;
  std::string times_json = "{}";
  std::string limits_json = "{}";
  int tolerated_core_losses = 0;
  std::vector<FleetProcess> processes;

  FleetProcess* find(const std::string& name);
  /** The peer addresses of all cores, in order. */
  std::vector<base::NodeAddress> coreAddresses() const;
};

std::string formatFleetState(const FleetState& state);
/** Throws base::Error. */
FleetState parseFleetState(const std::string& text);

/** The programs that a fleet's processes run. */
struct FleetPrograms {
  std::string testbed;
  std::string switchsaddle;
};

/** All processes of the layout, not yet started, in start order. */
FleetState planFleet(const FleetLayout& layout, const std::string& directory,
                     const FleetPrograms& programs);

/** @return the address at which a front answers readiness checks. */
base::NodeAddress readinessAddress(const FleetProcess& front);

/**
 * The settings file of a core or front for its next start; only the first start of a core names the
 * initial cores. `operator_hash` is the SHA-256 of the operator's key.
 */
std::string settingsText(const FleetState& state, const FleetProcess& process,
                         const std::string& operator_hash);

/**
 * Replaces the named core by a new one that has a new name, a new address and an empty data folder.
 * Throws base::Error with InvalidValue if the process is not a core.
 */
FleetProcess& replaceCore(FleetState& state, const std::string& name);

}  // namespace switchsaddle::testbed
