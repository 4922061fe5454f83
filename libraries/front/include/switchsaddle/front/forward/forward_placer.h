#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/forwarding.h"
#include "switchsaddle/front/attempt/worker_circuit.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/routing/peer_load.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/routing/slow_start_limiter.h"

namespace switchsaddle::front {

/** What becomes of the connection of a request that has ended. */
enum class ConnectionEnd : std::uint8_t {
  Closed,
  /** The next request may use it. */
  KeptIdle,
};

/** The worker chosen for a forwarded request. */
struct ForwardPlacement {
  workers::Worker worker;
  /** The router's placement, for a pool of models; must be completed at the router. */
  std::optional<routing::Placement> learned;
};

/**
 * Chooses workers of a pool. For models the router of ADR-0021 chooses. For other services it is
 * the worker with the fewest requests of this front or, if the loads of the fleet are known, a
 * random one weighted by the free slots. Workers that are shutting down, closed, evacuated or
 * excluded are never used. Workers with an open circuit, and those that the cores have ejected, are
 * used only if there are no others. Workers that are warming up are used within the limits of slow
 * start.
 *
 * Invariant: each placement counts as in flight until it is completed. Runs on the control strand.
 */
class ForwardPlacer {
 public:
  ForwardPlacer(base::Dispatcher& dispatcher, base::RandomSource& random, routing::Router& router,
                WorkerCircuit& circuit, FleetView& fleet_view, base::NodeAddress self);

  /**
   * @param excluded ids of workers that must not be used.
   * @return the placement, or std::nullopt if no worker is available.
   */
  std::optional<ForwardPlacement> choose(const configuration::ForwardPool& pool,
                                         const routing::Prompt& prompt,
                                         const std::vector<std::string>& excluded);
  /**
   * Ends a placement. Must be called once for each.
   * @param completion the measurements for the router.
   */
  void complete(const ForwardPlacement& placement, routing::Completion completion,
                ConnectionEnd connection);
  /** Records that the first event of a stream was received. */
  void onFirstToken(const ForwardPlacement& placement);
  /** @return this front's requests in flight by worker, to be sent to its peers. */
  wire::FrontLoad load() const;
  /** Applies the loads of the other fronts. */
  void setPeerLoads(const wire::FleetLoad& loads);
  void setFronts(const std::vector<base::NodeAddress>& fronts);
  /**
   * Sets the workers that the cores have ejected. They are used only if there are no others, until
   * the list expires.
   * @param workers keys from worker_health::workerKey().
   */
  void setEjected(const std::vector<std::uint64_t>& workers);

 private:
  struct Usage {
    std::uint32_t in_flight = 0;
    /** workers::loadKey() of the instance. */
    std::uint32_t load_key = 0;
    routing::SlowStartState slow_start;
    /** When the last request ended, if its connection was kept. */
    std::optional<base::TimePoint> last_ended;
  };

  /** A worker that may get the request. */
  struct Eligible {
    const workers::Worker* worker = nullptr;
    /** Requests in flight at the worker: those of this front, and those that its peers reported. */
    double load = 0;
    /** Whether this front probably has an idle connection to the worker. */
    bool has_idle_connection = false;
  };

  /** @return the preferred workers or, if there are none, those that are used as a last resort. */
  std::vector<Eligible> eligibleWorkers(const configuration::ForwardPool& pool,
                                        const workers::WorkerSnapshot& snapshot,
                                        const std::vector<std::string>& excluded);
  /** @return the weight of a worker in the random choice. If the loads of the fleet are known, it
   * grows with the free slots, so that fronts that receive the same loads at the same time do not
   * all choose the least loaded worker. */
  double weightOf(const Eligible& eligible, double least_load, bool fleet_known) const;
  std::optional<ForwardPlacement> chooseLearned(const configuration::ForwardPool& pool,
                                                const routing::Prompt& prompt,
                                                const std::vector<std::string>& excluded);
  std::optional<ForwardPlacement> chooseLeastLoaded(const configuration::ForwardPool& pool,
                                                    const std::vector<std::string>& excluded);
  /** Chooses one of the workers at random by their weights. */
  const workers::Worker& draw(const std::vector<Eligible>& eligible);
  bool isEjected(const wire::WorkerEntry& entry) const;
  std::vector<std::string> ejectedWorkers(const configuration::ForwardPool& pool) const;
  /** Whether slow start allows another request at the worker. */
  bool mayUse(const workers::Worker& worker, const configuration::ForwardPool& pool);
  /** Removes the state of workers that are no longer listed. */
  void removeUnlisted(const workers::WorkerSnapshot& snapshot);

  base::Dispatcher& dispatcher_;
  base::RandomSource& random_;
  routing::Router& router_;
  WorkerCircuit& circuit_;
  FleetView& fleet_view_;
  base::NodeAddress self_;
  routing::SlowStartLimiter slow_start_limiter_;
  std::map<std::string, Usage> usage_;
  routing::PeerLoad peer_load_;
  std::uint64_t known_revision_ = 0;
  /** Keys of ejected workers; expires at `ejected_until_`. */
  std::set<std::uint64_t> ejected_;
  base::TimePoint ejected_until_{};
};

}  // namespace switchsaddle::front
