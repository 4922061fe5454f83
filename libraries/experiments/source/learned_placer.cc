#include <map>
#include <optional>

#include "placer.h"
#include "switchsaddle/routing/learned_router.h"

namespace switchsaddle::experiments {

namespace {

constexpr const char* PoolName = "models";
/** Capacity of a modelled front's table of shared prefix chains. */
constexpr std::size_t PrefixChainCapacity = 1U << 14U;

std::optional<routing::RouterOptions> optionsOf(const std::string& policy) {
  routing::RouterOptions options;
  if (policy == "adr-0021") {
    options = routing::RouterOptions::plain();
  } else if (policy == "no-prefix-affinity") {
    options.prefix_affinity = false;
  } else if (policy == "no-load-estimates") {
    options.load_estimates = false;
  } else if (policy == "no-cold-guard") {
    options.slow_start_limiter = false;
  } else if (policy == "no-score-hygiene") {
    options.score_hygiene = false;
  } else if (policy != "ours" && policy != "no-score-sharing") {
    return std::nullopt;
  }
  options.prefix_chains = PrefixChainCapacity;
  return options;
}

base::NodeAddress frontAddress(std::size_t front) {
  constexpr std::uint16_t FirstPort = 10'000;
  return base::NodeAddress{"127.0.0.1", static_cast<std::uint16_t>(FirstPort + front)};
}

/** The router under test on one modelled front. */
class LearnedPlacer : public Placer {
 public:
  LearnedPlacer(const PlacerContext& context, const routing::RouterOptions& options)
      : process_(context.world),
        random_(context.world.random().next()),
        router_(process_, random_, frontAddress(context.front), options) {
    configure(context.settings);
    std::vector<base::NodeAddress> fronts;
    for (std::size_t front = 0; front < context.settings.fronts; ++front) {
      fronts.push_back(frontAddress(front));
    }
    router_.setFronts(fronts);
  }

  void setWorkers(const std::vector<ListedWorker>& workers) override {
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    snapshot->revision = ++revision_;
    for (const ListedWorker& listed : workers) {
      workers::Worker worker;
      worker.entry.id = listed.id;
      worker.entry.models = {listed.model};
      worker.entry.service = PoolName;
      worker.entry.slots = listed.slots;
      worker.entry.instance = listed.instance;
      worker.unreachable = listed.unreachable;
      snapshot->workers.emplace(listed.id, worker);
      index_of_[listed.id] = listed.index;
    }
    router_.setWorkers(snapshot);
  }

  std::optional<ModelledPlacement> place(const ModelledPrompt& prompt,
                                         const std::vector<std::string>& excluded) override {
    const auto placement = router_.choose(prompt.prompt, route_, excluded);
    if (!placement) {
      return std::nullopt;
    }
    return ModelledPlacement{index_of_.at(placement->arm), placement->ticket};
  }

  void complete(const ModelledPlacement& placement, const StreamResult& result,
                std::uint32_t output_tokens) override {
    routing::Completion completion;
    completion.ticket = placement.ticket;
    completion.failed = result.failed;
    completion.output_tokens = output_tokens;
    completion.cached_tokens = result.cached_tokens;
    completion.uncached_tokens = result.uncached_tokens;
    completion.time_to_first_token = result.time_to_first_token;
    completion.total = result.total;
    completion.running = result.running;
    completion.queued = result.queued;
    completion.slots = result.slots;
    completion.has_load = !result.failed;
    router_.complete(completion);
  }

  std::vector<wire::RouteScore> exportScores() override { return router_.exportScores(); }
  void importScores(const std::vector<wire::RouteScore>& scores) override {
    router_.importScores(scores);
  }

 private:
  void configure(const FleetSettings& settings) {
    auto view = std::make_shared<configuration::View>();
    route_ = configuration::Route{"chat", configuration::CompletionsService, {}, PoolName};
    for (std::uint32_t model = 0; model < settings.models; ++model) {
      route_.models.push_back("model-" + std::to_string(model));
    }
    view->routes[route_.name] = route_;
    view->tuning.route_explore_share = settings.explore_share;
    router_.setConfiguration(view);
  }

  simulation::Process process_;
  base::RandomSource random_;
  routing::LearnedRouter router_;
  configuration::Route route_;
  std::map<std::string, std::size_t> index_of_;
  std::uint64_t revision_ = 0;
};

}  // namespace

std::unique_ptr<Placer> makeLearnedPlacer(const PlacerContext& context) {
  const std::optional<routing::RouterOptions> options = optionsOf(context.settings.policy);
  return options ? std::make_unique<LearnedPlacer>(context, *options) : nullptr;
}

}  // namespace switchsaddle::experiments
