#pragma once

#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/routing/arm_selection.h"
#include "switchsaddle/routing/candidate_collector.h"
#include "switchsaddle/routing/candidate_ranking.h"
#include "switchsaddle/routing/candidate_set.h"
#include "switchsaddle/routing/placement_estimator.h"
#include "switchsaddle/routing/placement_tracker.h"
#include "switchsaddle/routing/pool_registry.h"
#include "switchsaddle/routing/prefix_affinity.h"
#include "switchsaddle/routing/prefix_chains.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/routing/router_context.h"
#include "switchsaddle/routing/router_options.h"
#include "switchsaddle/routing/score_exchange.h"
#include "switchsaddle/routing/scout_policy.h"

namespace switchsaddle::routing {

/**
 * ADR-0021's bandit on one front with the extensions of docs/ROUTING.md: collects candidates, ranks
 * and filters them, and selects one by the policy; the tracker updates scores from completions.
 * Invariant: an arm is never a candidate if its worker is draining, removed, evacuated or outside
 * the route's pool. Runs on the control strand; choose() makes no network call, takes no lock, and
 * visits each arm of the model at most once.
 */
class LearnedRouter : public Router {
 public:
  /** @param self address of this front; decides its rank in slow start and its order of scouts. */
  LearnedRouter(base::Dispatcher& dispatcher, base::RandomSource& random, base::NodeAddress self,
                RouterOptions options);
  LearnedRouter(const LearnedRouter&) = delete;
  LearnedRouter& operator=(const LearnedRouter&) = delete;

  void setConfiguration(std::shared_ptr<const configuration::View> view) override;
  void setWorkers(workers::WorkerSnapshotPtr snapshot) override;
  void setFronts(const std::vector<base::NodeAddress>& fronts) override;
  std::optional<Placement> choose(const Prompt& prompt, const configuration::Route& route,
                                  const std::vector<std::string>& excluded) override;
  void complete(const Completion& completion) override;
  void recordFirstToken(std::uint64_t ticket) override;
  wire::FrontLoad exportLoads() const override;
  void importLoads(const wire::FleetLoad& loads) override;
  std::vector<RoutingRow> table(const std::string& model) const override;
  std::vector<wire::RouteScore> exportScores() const override;
  void importScores(const std::vector<wire::RouteScore>& scores) override;

  /** @return the epoch of the model's pool; zero if there is none. */
  std::uint64_t epochOf(const std::string& model) const;

 private:
  /** Selects one of the remaining candidates by ADR-0021's policy. */
  Selection select(const ModelPool& pool, const Prompt& prompt);
  /** Weight of a proven candidate in the draw, in tokens per second. */
  double drawSpeed(const Candidate& candidate, const Prompt& prompt) const;
  Placement makePlacement(const ModelPool& pool, const Prompt& prompt, const Candidate& chosen,
                          SelectionMode mode);

  base::NodeAddress self_;
  RouterContext context_;
  PoolRegistry registry_;
  PrefixAffinity affinity_;
  ScoutPolicy scouts_;
  CandidateCollector collector_;
  PlacementEstimator estimator_;
  CandidateRanking ranking_;
  PlacementTracker tracker_;
  ScoreExchange scores_;
  std::uint64_t next_ticket_ = 1;
  // Reused between calls of choose(), so that the request path does not allocate.
  CandidateSet candidates_;
  std::vector<SelectionCandidate> selection_;
};

}  // namespace switchsaddle::routing
