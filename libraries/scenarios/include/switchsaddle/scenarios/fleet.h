#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "switchsaddle/scenarios/fake_operator.h"
#include "switchsaddle/scenarios/simulated_core.h"
#include "switchsaddle/scenarios/watched_front.h"

namespace switchsaddle::scenarios {

/** Sizes of a simulated fleet. */
struct FleetSize {
  std::size_t cores = 5;
  std::size_t fronts = 3;
  std::size_t operators = 1;
  /** Setting: how long fronts keep serving while a majority of cores refuse connections. */
  base::Duration core_refused_grace = configuration::TimeSettings{}.core_refused_grace;
  /** Setting: losses of cores that the acceptor set is grown to tolerate; zero: it does not grow.
   */
  std::uint32_t tolerated_core_losses = 0;
  /** Setting: losses of zones that the acceptor set is spread to tolerate. */
  std::uint32_t tolerated_zone_losses = 0;
  /** Setting: cores read the platform's list before any core holds the watcher's lease. */
  bool list_before_lease = false;
  /** Setting: how long a change may wait until it is in force everywhere. */
  base::Duration acknowledgement_deadline = configuration::TimeSettings{}.acknowledgement_deadline;
};

/** The body of a first change with all entries that a stream needs. The caller's key is
 * secretOfKey(CallerKey). */
std::string firstChange();
inline constexpr const char* CallerKey = "keys/caller";

/**
 * A simulated fleet in one world: complete cores and fronts, operators and the platform, at fixed
 * addresses. Everything but the operators is started by the constructor.
 */
class Fleet {
 public:
  Fleet(std::uint64_t seed, FleetSize size, core::CoreFaults core_faults = {},
        sessions::SessionClientFaults front_faults = {});

  /** Starts a further core with an empty disk at a new address, with the same seeds and no initial
   * cores. The cores of the constructor are in FirstZone. */
  SimulatedCore& addCore(const std::string& zone = FirstZone);
  /** Adds one worker to the platform's list; it serves the route of firstChange(). */
  void addModelWorker();
  /** Sends a change to the cores in turn until it is acknowledged. */
  bool commitChange(const std::string& body, base::Duration limit);
  /** Runs until every front would dispatch with this version or a newer one. */
  bool runUntilAllServe(std::uint64_t version, base::Duration limit);
  bool allServe(std::uint64_t version) const;
  /** Whether the core runs and a majority of cores has its instance in an acceptor set without a
   * pending change. */
  bool admitted(SimulatedCore& core) const;
  /** The first core that holds the lease according to its own status, or nullptr if none does. */
  SimulatedCore* holderOf(const std::string& lease);

  static constexpr const char* FirstZone = "zone";

  simulation::World world;
  simulation::Network network{world};
  SimulatedPlatform platform;
  std::vector<std::unique_ptr<SimulatedCore>> cores;
  std::vector<std::unique_ptr<WatchedFront>> fronts;
  std::vector<std::unique_ptr<FakeOperator>> operators;

 private:
  configuration::Settings settingsOf(const base::NodeAddress& address) const;

  FleetSize size_;
  core::CoreFaults core_faults_;
  std::vector<base::NodeAddress> initial_cores_;
  std::vector<base::NodeAddress> seeds_;
};

}  // namespace switchsaddle::scenarios
