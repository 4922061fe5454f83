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

/** A worker of a layout with the flags it starts with. */
struct LayoutWorker {
  ListedWorker listed;
  std::vector<std::string> arguments;
};

/** What a fleet consists of, as read from a layout file. */
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
  /** JSON of the settings' "times", passed on as it is. */
  std::string times_json = "{}";
};

/**
 * Parses a layout. Nodes are {"count": N} spread over "zones" in turn, or explicit lists of {name,
 * zone}; workers are groups {prefix, count, service, models, stage, slots, arguments}. Throws
 * base::Error with MalformedJson, UnknownField, MissingField or InvalidValue.
 */
FleetLayout parseFleetLayout(const std::string& text);

/** What a process of a fleet is. */
enum class ProcessRole : std::uint8_t { Platform, Worker, Core, Front };

std::string roleName(ProcessRole role);

/** One process of a fleet: where it listens, what starts it and, while it runs, which one it is. */
struct FleetProcess {
  std::string name;
  ProcessRole role = ProcessRole::Worker;
  std::string zone;
  base::NodeAddress peer_address;
  base::NodeAddress http_address;
  std::string data_folder;
  /** A core that joined later: its settings name no initial cores. */
  bool replacement = false;
  std::vector<std::string> command;
  /** Zero while it isn't running. */
  std::int64_t pid = 0;
  /** Start time from /proc, in clock ticks after boot; tells a reused pid. */
  std::uint64_t start_ticks = 0;
};

/** The content of fleet.json. */
struct FleetState {
  std::string directory;
  std::string region;
  std::string operator_key;
  std::string times_json = "{}";
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

/** All processes of the layout, not running, in the order in which they are to be started. */
FleetState planFleet(const FleetLayout& layout, const std::string& directory,
                     const FleetPrograms& programs);

/** The settings file of a core or front; `operator_hash` is the SHA-256 of the operator's key. */
std::string settingsText(const FleetState& state, const FleetProcess& process,
                         const std::string& operator_hash);

/**
 * Puts a new core with an empty data folder at a new address in the place of the one named. Throws
 * base::Error with InvalidValue where that isn't a core.
 */
FleetProcess& replaceCore(FleetState& state, const std::string& name);

}  // namespace switchsaddle::testbed
