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

/** The worker chosen for a forwarded request. */
struct ForwardPlacement {
  workers::Worker worker;
  /** The router's placement, for a pool of models; must be completed at the router. */
  std::optional<routing::Placement> learned;
};

/**
 * Chooses workers of a pool: for models by the router of ADR-0021, for other services the one with
 * the fewest requests of this front or, if the loads of the fleet are known, by a draw weighted
 * with the free slots. Workers that are shutting down, closed, evacuated or excluded are never
 * used; those with an open circuit or found failing by the cores are the last choice; and those
 * that are warming up are used within the limits of slow start.
 *
 * Invariant: each placement counts as in flight until it is completed. Runs on the control strand.
 */
class ForwardPlacer {
 public:
  ForwardPlacer(base::Dispatcher& dispatcher, base::RandomSource& random, routing::Router& router,
                WorkerCircuit& circuit, FleetView& fleet_view, base::NodeAddress self);

  /**
   * @param excluded ids of workers that must not be used.
   * @return the placement, or nothing if no worker is available.
   */
  std::optional<ForwardPlacement> choose(const configuration::ForwardPool& pool,
                                         const routing::Prompt& prompt,
                                         const std::vector<std::string>& excluded);
  /**
   * Ends a placement; to be called once for each.
   * @param completion the measurements for the router.
   */
  void complete(const ForwardPlacement& placement, routing::Completion completion);
  /** The first event of a stream has been received. */
  void onFirstToken(const ForwardPlacement& placement);
  /** @return the requests of this front in flight at workers, for its peers. */
  wire::FrontLoad load() const;
  /** Applies the loads of the other fronts. */
  void setPeerLoads(const wire::FleetLoad& loads);
  void setFronts(const std::vector<base::NodeAddress>& fronts);
  /**
   * Sets the workers that the cores found failing; they are the last choice until this expires.
   * @param workers keys by worker_health::workerKey().
   */
  void setEjected(const std::vector<std::uint64_t>& workers);

 private:
  struct Usage {
    std::uint32_t in_flight = 0;
    /** workers::loadKey() of the instance. */
    std::uint32_t load_key = 0;
    routing::SlowStartState slow_start;
    /** When the last request ended with a response, so that its connection may be reused. */
    std::optional<base::TimePoint> last_ended;
  };

  /** A worker that may get the request. */
  struct Eligible {
    const workers::Worker* worker = nullptr;
    /** Requests in flight there: of this front, and of its peers as far as known. */
    double load = 0;
    /** This front probably has an idle connection to it. */
    bool has_idle_connection = false;
  };

  /** @return the workers of first choice, or if there are none, those of last choice. */
  std::vector<Eligible> eligibleWorkers(const configuration::ForwardPool& pool,
                                        const workers::WorkerSnapshot& snapshot,
                                        const std::vector<std::string>& excluded);
  /** @return the weight of a worker in the draw. If the loads of the fleet are known, it grows with
   * the free slots: fronts that receive the same loads at the same time must not all choose the
   * least loaded worker. */
  double weightOf(const Eligible& eligible, double least_load, bool fleet_known) const;
  std::optional<ForwardPlacement> chooseLearned(const configuration::ForwardPool& pool,
                                                const routing::Prompt& prompt,
                                                const std::vector<std::string>& excluded);
  std::optional<ForwardPlacement> chooseLeastLoaded(const configuration::ForwardPool& pool,
                                                    const std::vector<std::string>& excluded);
  /** Draws one of the workers by their weights. */
  const workers::Worker& draw(const std::vector<Eligible>& eligible);
  bool isEjected(const wire::WorkerEntry& entry) const;
  std::vector<std::string> ejectedWorkers(const configuration::ForwardPool& pool) const;
  /** Whether slow start allows another request at the worker. */
  bool mayUse(const workers::Worker& worker, const configuration::ForwardPool& pool);
  /** Drops the state of workers that are no longer listed. */
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
  /** Keys of failing workers; expires at `ejected_until_`. */
  std::set<std::uint64_t> ejected_;
  base::TimePoint ejected_until_{};
};

}  // namespace switchsaddle::front
