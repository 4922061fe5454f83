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
#include "switchsaddle/front/fleet_view.h"
#include "switchsaddle/front/worker_circuit.h"
#include "switchsaddle/routing/peer_load.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/routing/slow_start_limiter.h"

namespace switchsaddle::front {

/** The worker chosen for a forwarded request. */
struct ForwardPlacement {
  workers::Worker worker;
  /** The router's, for a pool of models; it is to be completed there. */
  std::optional<routing::Placement> learned;
};

/**
 * Chooses workers of a pool: for models by ADR-0021's router, for other services the one with the
 * fewest requests of this front, or a draw by the slots that all fronts leave free. Workers that
 * are draining, gone, evacuated or tried before are left out, those behind an open circuit or found
 * failing are the last choice, and cold ones are used within their bound. Runs on the control
 * strand.
 */
class ForwardPlacer {
 public:
  ForwardPlacer(base::Dispatcher& dispatcher, base::RandomSource& random, routing::Router& router,
                WorkerCircuit& circuit, FleetView& fleet_view, base::NodeAddress self);

  std::optional<ForwardPlacement> choose(const configuration::ForwardPool& pool,
                                         const routing::Prompt& prompt,
                                         const std::vector<std::string>& attempted);
  /** To be called once for each placement; `completion` is of use to the router alone. */
  void complete(const ForwardPlacement& placement, routing::Completion completion);
  /** The first event of a stream has come. */
  void noteFirstToken(const ForwardPlacement& placement);
  /** What this front has under way at workers, to be told to the others. */
  wire::FrontLoad load() const;
  void setPeerLoads(const wire::FleetLoad& loads);
  void setFronts(const std::vector<base::NodeAddress>& fronts);
  /** Workers, by worker_health::workerKey(), that the cores found failing. They get requests only
   * where no other worker can take one, and all again unless this is said again in time. */
  void setAvoided(const std::vector<std::uint64_t>& workers);

 private:
  struct Usage {
    std::uint32_t in_flight = 0;
    /** workers::loadKey() of the instance. */
    std::uint32_t load_key = 0;
    routing::SlowStartState cold;
    /** When the last request ended there with an answer, so that its connection may be used again.
     */
    std::optional<base::TimePoint> last_ended;
  };

  /** A worker that may get the request, and what this front, or as far as it is known all fronts,
   * have under way there. */
  struct Eligible {
    const workers::Worker* worker = nullptr;
    double load = 0;
    /** A connection of this front to it lies idle, as far as is known. */
    bool has_connection = false;
  };

  /** Those behind an open circuit or found failing only where there is no other. */
  std::vector<Eligible> eligibleWorkers(const configuration::ForwardPool& pool,
                                        const workers::WorkerSnapshot& snapshot,
                                        const std::vector<std::string>& attempted);
  /** What chance a worker gets. Fronts that hear the same loads at the same time may not all choose
   * the least loaded, so a known fleet's workers are drawn by their free slots. */
  double weightOf(const Eligible& eligible, double least_load, bool fleet_known) const;
  std::optional<ForwardPlacement> chooseLearned(const configuration::ForwardPool& pool,
                                                const routing::Prompt& prompt,
                                                const std::vector<std::string>& attempted);
  std::optional<ForwardPlacement> chooseLeastLoaded(const configuration::ForwardPool& pool,
                                                    const std::vector<std::string>& attempted);
  bool isAvoided(const wire::WorkerEntry& entry) const;
  std::vector<std::string> avoidedWorkers(const configuration::ForwardPool& pool) const;
  bool mayUse(const workers::Worker& worker, const configuration::ForwardPool& pool);
  void forgetVanished(const workers::WorkerSnapshot& snapshot);

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
  std::set<std::uint64_t> avoided_;
  base::TimePoint avoided_until_{};
};

}  // namespace switchsaddle::front
