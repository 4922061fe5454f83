#include <benchmark/benchmark.h>
#include <malloc.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/simulation/process.h"

/**
 * Measures the time of one placement, that is, of one choose() and one complete(), with a routing
 * table of the largest supported size. Run it manually: it is not a test, because its figures
 * depend on the load of the machine.
 */
namespace switchsaddle::routing {
namespace {

constexpr std::size_t Models = 9;
constexpr std::size_t Workers = 2'100;
constexpr std::size_t Prefixes = 740'000;
constexpr std::size_t RememberedChains = 1U << 20U;
constexpr std::size_t DrawnPrompts = 1U << 16U;
/** Number of placements in flight. */
constexpr std::size_t InFlight = 64;

std::string modelName(std::size_t model) {
  return "model-" + std::to_string(model);
}

/** A router with a full table, and prompts to place. */
class LargeRouter {
 public:
  explicit LargeRouter(bool every_worker_serves_all) {
    const std::size_t before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    router_ = std::make_unique<LearnedRouter>(process_, random_, base::NodeAddress{"127.0.0.1", 1},
                                              options());
    configure();
    publish(every_worker_serves_all);
    table_bytes_ = ::mallinfo2().uordblks + ::mallinfo2().hblkhd - before;
    drawPrompts();
    for (const Prompt& prompt : prompts_) {
      place(prompt);
    }
  }

  void step() {
    next_ = (next_ + 1) % prompts_.size();
    place(prompts_[next_]);
  }

  std::size_t tableBytes() const { return table_bytes_; }

 private:
  static RouterOptions options() {
    RouterOptions options;
    options.prefix_chains = RememberedChains;
    return options;
  }

  void configure() {
    auto view = std::make_shared<configuration::View>();
    route_ = configuration::Route{"chat", configuration::CompletionsService, {}, "llm"};
    for (std::size_t model = 0; model < Models; ++model) {
      route_.models.push_back(modelName(model));
    }
    view->routes["chat"] = route_;
    router_->setConfiguration(view);
  }

  void publish(bool every_worker_serves_all) {
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    for (std::size_t index = 0; index < Workers; ++index) {
      workers::Worker worker;
      worker.entry.id = "worker-" + std::to_string(index);
      worker.entry.address = base::NodeAddress{"127.0.0.1", static_cast<std::uint16_t>(index)};
      worker.entry.zone = "zone-" + std::to_string(index % 3);
      worker.entry.service = "llm";
      worker.entry.slots = 16;
      worker.entry.instance = 1;
      worker.entry.models = every_worker_serves_all
                                ? route_.models
                                : std::vector<std::string>{modelName(index % Models)};
      snapshot->workers.emplace(worker.entry.id, worker);
    }
    router_->setWorkers(snapshot);
  }

  /** Draws all prefixes with equal probability, the worst case for the caches. */
  void drawPrompts() {
    for (std::size_t index = 0; index < DrawnPrompts; ++index) {
      const std::size_t prefix = random_.below(Prefixes / 2);
      Prompt prompt;
      prompt.model = modelName(prefix % Models);
      prompt.prefix_segments = {{"tenant-" + std::to_string(prefix % 5), 600},
                                {"family-" + std::to_string(prefix / 2), 3'000},
                                {"variant-" + std::to_string(prefix), 800}};
      prompt.prompt_tokens = 4'600;
      prompt.maximum_tokens = 100;
      prompts_.push_back(std::move(prompt));
    }
  }

  void place(const Prompt& prompt) {
    const std::optional<Placement> placement = router_->choose(prompt, route_, {});
    if (!placement) {
      return;
    }
    tickets_.push_back(placement->ticket);
    if (tickets_.size() > InFlight) {
      finish(tickets_.front());
      tickets_.pop_front();
    }
    if (++placed_ % 64 == 0) {
      world_.runFor(std::chrono::milliseconds(1));
    }
  }

  void finish(std::uint64_t ticket) {
    Completion completion;
    completion.ticket = ticket;
    completion.output_tokens = 100;
    completion.cached_tokens = 3'600;
    completion.uncached_tokens = 1'000;
    completion.time_to_first_token = std::chrono::milliseconds(120);
    completion.total = std::chrono::milliseconds(1'900);
    completion.running = 8;
    completion.slots = 16;
    completion.has_load = true;
    router_->complete(completion);
  }

  simulation::World world_{1};
  simulation::Process process_{world_};
  base::RandomSource random_{1};
  std::unique_ptr<LearnedRouter> router_;
  configuration::Route route_;
  std::vector<Prompt> prompts_;
  std::deque<std::uint64_t> tickets_;
  std::size_t next_ = 0;
  std::size_t placed_ = 0;
  std::size_t table_bytes_ = 0;
};

void placeAndComplete(benchmark::State& state) {
  LargeRouter router(state.range(0) != 0);
  for (auto _ : state) {
    router.step();
  }
  state.counters["table_bytes"] = static_cast<double>(router.tableBytes());
}

BENCHMARK(placeAndComplete)->ArgName("all_models_on_each_worker")->Arg(0)->Arg(1);

}  // namespace
}  // namespace switchsaddle::routing

BENCHMARK_MAIN();
