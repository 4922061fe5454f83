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
  /** The setting of how long fronts serve on while a majority of cores refuse connections. */
  base::Duration core_refused_grace = configuration::TimeSettings{}.core_refused_grace;
  /** The setting by which the acceptor set grows; zero: it does not. */
  std::uint32_t tolerated_core_losses = 0;
  /** The setting by which it is spread over zones. */
  std::uint32_t tolerated_zone_losses = 0;
  /** The setting by which cores read the platform's list before any has the watcher's lease. */
  bool list_before_lease = false;
  /** The setting of how long a change waits until it is in force everywhere. */
  base::Duration acknowledgement_deadline = configuration::TimeSettings{}.acknowledgement_deadline;
};

/** The body of a first change with whatever a stream needs; its key is secretOfKey(CallerKey). */
std::string firstChange();
inline constexpr const char* CallerKey = "keys/caller";

/**
 * A simulated fleet in one world: whole cores and fronts, operators and the platform, at fixed
 * addresses, for scenarios that bring about one chain of events. Everything runs from the start but
 * the operators.
 */
class Fleet {
 public:
  Fleet(std::uint64_t seed, FleetSize size, core::CoreFaults core_faults = {},
        sessions::SessionClientFaults front_faults = {});

  /** A further, empty core at a new address, with the same seeds and no initial cores. All others
   * are in FirstZone. */
  SimulatedCore& addCore(const std::string& zone = FirstZone);
  /** Lists one worker that serves the streams of firstChange(). */
  void addModelWorker();
  /** Sends a change to the cores in turn until it is acknowledged. */
  bool commitChange(const std::string& body, base::Duration limit);
  /** Runs until every front would dispatch by this version or a newer one. */
  bool runUntilAllServe(std::uint64_t version, base::Duration limit);
  bool allServe(std::uint64_t version) const;
  /** Whether a running core's instance is in the settled set which a majority of cores hold. */
  bool admitted(SimulatedCore& core) const;
  /** The first core which holds a lease, by its status; nullptr where none does. */
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
