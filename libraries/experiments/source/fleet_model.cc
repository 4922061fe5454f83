#include "fleet_model.h"

#include <algorithm>

#include "switchsaddle/wire/message.h"

namespace switchsaddle::experiments {

namespace {

constexpr std::size_t MaximumAttempts = 3;
/** Delay of one exchange of scores between two fronts. */
constexpr base::Duration ExchangeDelay = std::chrono::milliseconds(2);
/** Times of the crash, the restart and the join as shares of the measured time. */
constexpr double CrashAt = 0.10;
constexpr double RestartAt = 0.25;
constexpr double JoinAt = 0.60;

base::Duration share(base::Duration total, double share_of_total) {
  return std::chrono::duration_cast<base::Duration>(total * share_of_total);
}

}  // namespace

FleetModel::FleetModel(const FleetSettings& settings, std::uint64_t seed)
    : settings_(settings),
      world_(seed),
      recorder_(settings_),
      prompts_(settings_, world_.random()) {
  const std::size_t joining = settings_.churn ? 1 : 0;
  // Names depend on the seed, so that each seed has another distribution on the hash ring.
  const std::string prefix = "worker-" + std::to_string(seed) + "-";
  for (std::size_t index = 0; index < settings_.workers + joining; ++index) {
    const std::string model = "model-" + std::to_string(index % settings_.models);
    const double factor = 1.0 + settings_.speed_spread * (2.0 * world_.random().uniform() - 1.0);
    workers_.push_back(std::make_unique<ModelledWorker>(
        world_, settings_, prefix + std::to_string(index), model, factor));
  }
  std::vector<ListedWorker> list;
  for (std::size_t index = 0; index < settings_.workers; ++index) {
    workers_[index]->start();
    list.push_back(listed(index));
  }
  for (std::size_t front = 0; front < settings_.fronts; ++front) {
    fronts_.push_back(makePlacer(PlacerContext{settings_, world_, workers_, front}));
    fronts_.back()->setWorkers(list);
    lists_.push_back(list);
  }
}

std::vector<Measure> FleetModel::run() {
  scheduleArrival();
  if (settings_.share_scores) {
    for (std::size_t front = 0; front < settings_.fronts; ++front) {
      scheduleGossip(front);
    }
  }
  if (settings_.churn) {
    scheduleChurn();
  }
  world_.runFor(settings_.duration);
  return recorder_.measures();
}

void FleetModel::scheduleChurn() {
  const base::Duration measured = settings_.duration - settings_.warm_up;
  const std::size_t victim = world_.random().below(settings_.workers);
  const std::size_t joining = settings_.workers;
  world_.schedule(settings_.warm_up + share(measured, CrashAt), [this, victim] { crash(victim); });
  world_.schedule(settings_.warm_up + share(measured, RestartAt),
                  [this, victim] { startWorker(victim); });
  world_.schedule(settings_.warm_up + share(measured, JoinAt),
                  [this, joining] { startWorker(joining); });
}

void FleetModel::scheduleArrival() {
  world_.schedule(prompts_.nextGap(), [this] {
    auto call = std::make_shared<Call>();
    call->prompt = prompts_.next();
    call->front = world_.random().below(settings_.fronts);
    call->arrived = world_.now();
    place(call);
    scheduleArrival();
  });
}

void FleetModel::place(const CallPtr& call) {
  const auto placement = fronts_[call->front]->place(call->prompt, call->excluded);
  if (!placement) {
    recorder_.onLost();
    return;
  }
  recorder_.onPlaced(placement->worker, world_.now());
  workers_[placement->worker]->submit(
      call->prompt,
      [this, call] { recorder_.onFirstToken(world_.now() - call->arrived, world_.now()); },
      [this, call, placement = *placement](const StreamResult& result) {
        onDone(call, placement, result);
      });
}

void FleetModel::onDone(const CallPtr& call, const ModelledPlacement& placement,
                        const StreamResult& result) {
  fronts_[call->front]->complete(placement, result, call->prompt.output_tokens);
  if (!result.failed) {
    recorder_.onDone(call->prompt, result, world_.now());
    return;
  }
  const bool had_first_token = result.time_to_first_token > base::Duration::zero();
  call->excluded.push_back(workers_[placement.worker]->id());
  if (had_first_token || call->excluded.size() >= MaximumAttempts) {
    recorder_.onLost();
    return;
  }
  place(call);
}

void FleetModel::scheduleGossip(std::size_t front) {
  const double jitter = 0.9 + 0.2 * world_.random().uniform();
  world_.schedule(share(settings_.gossip_interval, jitter), [this, front] {
    gossip(front);
    scheduleGossip(front);
  });
}

void FleetModel::gossip(std::size_t front) {
  if (settings_.fronts < 2) {
    return;
  }
  const std::size_t step = 1 + world_.random().below(settings_.fronts - 1);
  const std::size_t peer = (front + step) % settings_.fronts;
  wire::GossipDelta delta;
  delta.scores = fronts_[peer]->exportScores();
  if (delta.scores.empty()) {
    return;
  }
  wire::Envelope envelope;
  envelope.message = delta;
  recorder_.onScoresSent(wire::encode(envelope).size());
  world_.schedule(ExchangeDelay, [this, front, scores = std::move(delta.scores)] {
    fronts_[front]->importScores(scores);
  });
}

void FleetModel::crash(std::size_t worker) {
  workers_[worker]->crash();
  recorder_.onCrash(worker);
  announce(worker);
}

void FleetModel::startWorker(std::size_t worker) {
  workers_[worker]->start();
  recorder_.onSlowStart(worker, world_.now());
  announce(worker);
}

ListedWorker FleetModel::listed(std::size_t worker) const {
  const ModelledWorker& modelled = *workers_[worker];
  return ListedWorker{worker,          modelled.id(), modelled.model(), modelled.instance(),
                      settings_.slots, !modelled.up()};
}

void FleetModel::announce(std::size_t worker) {
  const ListedWorker entry = listed(worker);
  for (std::size_t front = 0; front < settings_.fronts; ++front) {
    world_.schedule(share(settings_.list_delay, world_.random().uniform()),
                    [this, front, entry] { updateList(front, entry); });
  }
}

void FleetModel::updateList(std::size_t front, const ListedWorker& worker) {
  std::vector<ListedWorker>& list = lists_[front];
  const auto found = std::find_if(list.begin(), list.end(), [&worker](const ListedWorker& one) {
    return one.index == worker.index;
  });
  if (found == list.end()) {
    list.push_back(worker);
  } else {
    *found = worker;
  }
  fronts_[front]->setWorkers(list);
}

}  // namespace switchsaddle::experiments
