#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/routing/arm_selection.h"
#include "switchsaddle/routing/chain_rate.h"
#include "switchsaddle/routing/model_pool.h"
#include "switchsaddle/routing/peer_load.h"
#include "switchsaddle/routing/prefix_chains.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/routing/work_lanes.h"

namespace switchsaddle::routing {

/** What is switched on over plain ADR-0021; each has a measurement in docs/ROUTING.md. */
struct RouterOptions {
  bool prefix_affinity = true;
  bool load_estimates = true;
  bool slow_start_limiter = true;
  /** Draw on speed apart from prefix hits and lengths, in place of raw end-to-end tokens/s. */
  bool score_hygiene = true;
  /** Keep kinds of work with long prompts and with short ones on different workers. */
  bool work_lanes = false;
  /** Place by what all fronts have under way and by expected work, in place of estimates from this
   * front's own answers. */
  bool fleet_loads = false;
  /** Chains of shared prefix parts remembered. */
  std::size_t prefix_chains = 1U << 16U;
  UnmeasuredPrior unmeasured_prior;

  /** The source's policy alone, as a baseline. */
  static RouterOptions plain();
};

/**
 * ADR-0021's bandit on one front, extended as docs/ROUTING.md says. Owns the arms of each model,
 * their means, the epochs and the index of prefix chains. Invariant: an arm of a worker that is
 * draining, gone or evacuated, or outside the route's pool, is never a candidate. Runs on the
 * control strand; choose() makes no call, takes no lock, and looks at each arm of the model at most
 * once.
 */
class LearnedRouter : public Router {
 public:
  /** Keeps one exchange of scores below 5 KB. */
  static constexpr std::size_t MaximumExportedScores = 56;

  LearnedRouter(base::Dispatcher& dispatcher, base::RandomSource& random, base::NodeAddress self,
                RouterOptions options);

  void setConfiguration(std::shared_ptr<const configuration::View> view) override;
  void setWorkers(workers::WorkerSnapshotPtr snapshot) override;
  void setFronts(const std::vector<base::NodeAddress>& fronts) override;
  std::optional<Placement> choose(const Prompt& prompt, const configuration::Route& route,
                                  const std::vector<std::string>& excluded) override;
  void complete(const Completion& completion) override;
  void noteFirstToken(std::uint64_t ticket) override;
  wire::FrontLoad exportLoads() const override;
  void importLoads(const wire::FleetLoad& loads) override;
  std::vector<RoutingRow> table(const std::string& model) const override;
  /** At most MaximumExportedScores: arms of cold workers first, then the last measured. */
  std::vector<wire::RouteScore> exportScores() const override;
  void importScores(const std::vector<wire::RouteScore>& scores) override;

  std::uint64_t epochOf(const std::string& model) const;

 private:
  struct PoolKey {
    std::string model;
    std::string pool;

    auto operator<=>(const PoolKey&) const = default;
  };
  /** One arm under consideration for a prompt. */
  struct Candidate {
    Arm* arm = nullptr;
    std::uint32_t cached_tokens = 0;
    double first_token_s = 0;
    /** The next in the chain's order after its homes, where all fronts send what they cannot take.
     */
    bool next_home = false;
    /** placementCost(), where placements are chosen by it. */
    double cost = 0;
  };
  struct InFlight {
    ArmPtr arm;
    /** Pools are never removed. */
    ModelPool* pool = nullptr;
    PrefixChains chains;
    base::TimePoint placed_at{};
    std::uint32_t uncached_tokens = 0;
    /** Expected then: reading before it, and of it, in seconds. */
    double queue_s = 0;
    double prefill_s = 0;
    bool answered = false;
  };
  /** An arm whose score may be exported. */
  struct FreshArm {
    bool cold = false;
    base::TimePoint measured_at{};
    const ModelPool* pool = nullptr;
    const Arm* arm = nullptr;
  };

  // Pools, in source/pool_builder.cc.
  void rebuildPools();
  void updateWorkerRecords();
  void buildPool(ModelPool& pool);
  void addArm(ModelPool& pool, std::map<std::string, ArmPtr>& former,
              const WorkerRecordPtr& prefill, const WorkerRecordPtr& decode);
  WorkerNumber freeNumber();
  std::string topologyOf(const ModelPool& pool) const;
  void bumpEpoch(ModelPool& pool);
  void pruneRetired(ModelPool& pool);

  // Candidates of one prompt, in source/candidates.cc.
  void collectCandidates(ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                         const std::vector<std::string>& excluded);
  void collectOwners(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains);
  /** The workers consistent hashing names for the prompt's longest part. All fronts send it there,
   * so it is believed to be cached there. */
  void collectHomes(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains);
  /** The worker that takes what the homes cannot, by the same order on all fronts. */
  void considerNextHome(const ModelPool& pool, std::uint64_t chain, std::size_t homes);
  void collectHomesInLane(const ModelPool& pool, const PrefixChains& chains, std::size_t needed);
  /** Home workers the chain's prompts of all fronts need. */
  std::size_t homesNeeded(const ModelPool& pool, const Prompt& prompt, std::uint64_t chain) const;
  void collectAtRandom(const ModelPool& pool, std::size_t limit);
  void collectLeastMeasured(const ModelPool& pool);
  void collectLeastMeasured(ModelPool& pool);
  void refreshScouts(ModelPool& pool);
  void gatherCandidates(ModelPool& pool, const Prompt& prompt, const PrefixChains& chains);
  void consider(Arm& arm, std::uint32_t cached_tokens);
  void chooseLane(const ModelPool& pool, const Prompt& prompt);
  bool isInLane(const Arm& arm) const { return arm.rank >= first_rank_ && arm.rank < end_rank_; }
  /** Gives each arm of the pool its rank. */
  static void rankArms(ModelPool& pool);
  void rankCandidates(const ModelPool& pool, const Prompt& prompt, std::size_t limit);
  // Ranking by expected work, in source/expected_work.cc.
  void rankByCost(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                  std::size_t limit);
  void dropDearer();
  double costOf(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                Candidate& candidate) const;
  /** Seconds until the worker has read what it was sent before. */
  double queueSeconds(const Arm& arm, base::TimePoint now) const;
  /** Seconds that the arm reads so many tokens. */
  double prefillSeconds(const ModelPool& pool, const Arm& arm, std::uint32_t tokens) const;
  /** Seconds until one of the worker's slots is free. */
  double slotWaitSeconds(const Arm& arm, const Prompt& prompt, base::TimePoint now) const;
  void noteAnswered(InFlight& in_flight);
  /** Works the pool's mean rates out anew now and then. */
  void refreshRates(ModelPool& pool);
  /** Drops arms the cold guard holds back, as long as others remain. */
  void dropHeldBack();
  void dropFarFromBest();
  bool isExcluded(const Arm& arm) const;
  Selection select(const ModelPool& pool, const Prompt& prompt);
  double drawSpeed(const Candidate& candidate, const Prompt& prompt) const;
  bool mayScout(const Arm& arm) const;
  /** Whether this front's last scout of the arm is long enough ago. Each front waits longer the
   * more fronts there are, so that the fleet's scouts of one arm are bounded. */
  bool scoutDue(const Arm& arm) const;

  void importScore(ModelPool& pool, const wire::RouteScore& score, base::TimePoint now);
  static bool tellsMore(const FreshArm& first, const FreshArm& second);
  wire::RouteScore scoreOf(const ModelPool& pool, const Arm& arm) const;
  void notePlacement(WorkerRecord& worker);
  void recordLoad(WorkerRecord& worker, const Completion& completion);
  void recordFailure(ModelPool& pool, Arm& arm);
  /** The pool of a model; null where there is none. */
  ModelPool* findPool(const std::string& pool, const std::string& model);
  void rebuildPool(const std::string& pool_name, const std::string& model);
  void updateColdLimits();

  base::Dispatcher& dispatcher_;
  base::RandomSource& random_;
  base::NodeAddress self_;
  std::uint64_t self_hash_;
  RouterOptions options_;
  std::shared_ptr<const configuration::View> view_;
  workers::WorkerSnapshotPtr snapshot_;
  bool first_list_taken_ = false;
  configuration::Tuning tuning_;
  SlowStartLimiter slow_start_limiter_;
  PrefixIndex prefix_index_;
  ChainRate chain_rate_;
  WorkLanes lanes_;
  PeerLoad peer_load_;
  std::size_t fronts_ = 1;
  std::map<std::string, WorkerRecordPtr> workers_;
  WorkerNumber next_number_ = 0;
  bool numbers_reused_ = false;
  /** By model and name of the pool; one model may be served by several pools. */
  std::map<PoolKey, ModelPool> pools_;
  std::unordered_map<std::uint64_t, InFlight> in_flight_;
  std::uint64_t next_ticket_ = 1;
  // Reused between calls of choose(), so that the ordinary path does not allocate.
  std::vector<Candidate> candidates_;
  std::vector<SelectionCandidate> selection_;
  const std::vector<std::string>* excluded_ = nullptr;
  /** The ranks that candidates must have, as the kind of work's lane. */
  std::size_t first_rank_ = 0;
  std::size_t end_rank_ = 0;
};

}  // namespace switchsaddle::routing
