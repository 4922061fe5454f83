#include "fleet/traffic_scenario.h"

#include <algorithm>

namespace switchsaddle::front {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Keys = 60;
constexpr int RequestsOfKey = 4;
constexpr int Streams = 300;
constexpr int WorkersPerPool = 4;
constexpr int LoadMs = 20'000;
constexpr int Faults = 30;
/** Probability that the front of a one-shot is killed or frozen while it is claimed or runs. */
constexpr double OneShotFaultChance = 0.06;
/** Longer than an evacuation including its time limit. */
constexpr std::uint64_t LongestFreezeMs = 12'000;
/** Longest time from the resumption of a suspended front until its network is connected again. */
constexpr std::uint64_t LongestReconnectMs = 3'000;
/** Probability that a frozen front also loses what is sent to it, as a suspended machine does. */
constexpr double SuspensionChance = 0.5;
/** Number of times that an operator resends a request. */
constexpr int OperatorRetries = 25;

/** Reports lost requests as not sent, which disables the mechanism under test. */
class LossAsNotSentPort : public WorkerPort {
 public:
  explicit LossAsNotSentPort(std::unique_ptr<WorkerPort> inner) : inner_(std::move(inner)) {}
  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override {
    return inner_->send(request, std::make_shared<LossAsNotSentObserver>(std::move(observer)));
  }

 private:
  class LossAsNotSentObserver : public WorkerObserver {
   public:
    explicit LossAsNotSentObserver(std::shared_ptr<WorkerObserver> inner)
        : inner_(std::move(inner)) {}
    void onHead(const WorkerHead& head) override { inner_->onHead(head); }
    void onBytes(std::string bytes, std::function<void()> resume) override {
      inner_->onBytes(std::move(bytes), std::move(resume));
    }
    void onComplete() override { inner_->onComplete(); }
    void onFailure(WorkerFailure /*failure*/, bool refused) override {
      inner_->onFailure(WorkerFailure::NotSent, refused);
    }

   private:
    std::shared_ptr<WorkerObserver> inner_;
  };
  std::unique_ptr<WorkerPort> inner_;
};

/** Lets every attempt win its claim, which disables the mechanism under test. */
class NoClaims : public claims::ClaimClient {
 public:
  void begin(const wire::ClaimBegin& /*request*/, claims::ClaimCallback callback) override {
    callback(won());
  }
  void finish(const wire::ClaimFinish& /*request*/, claims::ClaimCallback callback) override {
    callback(won());
  }

 private:
  static wire::ClaimReply won() {
    wire::ClaimReply reply;
    reply.available = true;
    reply.recorded = true;
    return reply;
  }
};

std::string trafficConfiguration(double retry_share) {
  const auto key = [](const std::string& secret) {
    return R"({"sha256": ")" + configuration::sha256Hex(secret) + R"(", "tenant": "editors"})";
  };
  return R"({"change_id":"c0","base_version":0,"document":{
    "shapes/chat": {"services": ["completions", "orders"], "first_token_ms": 30000,
                    "stream_deadline_ms": 15000},
    "tenants/editors": {"shape": "chat", "stream_branch": "root", "one_shot_branch": "root"},
    "share/root": {"slots": 500},
    "routes/large": {"service": "completions", "models": ["large"], "pool": "models"},
    "routes/orders": {"service": "orders", "pool": "ordinary"},
    "tuning/retry-share": )" +
         std::to_string(retry_share) + R"(,
    "keys/lasting": )" +
         key("lasting") + R"(,
    "keys/revoked": )" +
         key("revoked") + "}}";
}

}  // namespace

bool TrafficResult::found(const std::string& rule) const {
  return std::any_of(violations.begin(), violations.end(),
                     [&rule](const std::string& text) { return text.starts_with(rule + ":"); });
}

TrafficScenario::TrafficScenario(std::uint64_t seed, const TrafficOptions& options)
    : options_(options) {
  static NoClaims no_claims;
  fleet_ = std::make_unique<Fleet>(
      seed,
      [this](simulation::World& world, simulation::Process& front) -> std::unique_ptr<WorkerPort> {
        if (!worker_) {
          worker_ = std::make_unique<simulation::Process>(world);
        }
        const int number = fronts_made_++;
        auto workers = std::make_unique<ChaosWorkers>(
            world, *worker_, front, history_, options_.faults, [this, number] {
              return std::to_string(number) + "/" + std::to_string(incarnations_[number]);
            });
        if (options_.lost_is_unknown) {
          return workers;
        }
        return std::make_unique<LossAsNotSentPort>(std::move(workers));
      },
      WorkersPerPool,
      [this](FrontEnvironment& environment) {
        environment.claims = options_.claims ? nullptr : &no_claims;
        environment.serving_session = options_.session_check ? nullptr : &always_serving_;
        environment.check_sequence = options_.sequence_check;
      });
}

TrafficResult TrafficScenario::run() {
  EXPECT_TRUE(fleet_->allReady());
  EXPECT_EQ(fleet_->change(0, trafficConfiguration(options_.retry_share)), 200);
  schedule();
  fleet_->world.runFor(milliseconds(LoadMs + 1'000));
  healAll();
  checkServing();
  fleet_->world.runFor(seconds(40));
  checkHistory();
  return result_;
}

void TrafficScenario::schedule() {
  simulation::World& world = fleet_->world;
  for (int index = 0; index < Keys * RequestsOfKey; ++index) {
    // The requests of one key are sent close together, so that several are in flight at once.
    const auto base_ms = static_cast<int>((index % Keys) * (LoadMs - 4'000) / Keys);
    const auto at = milliseconds(base_ms + static_cast<int>(world.random().below(4'000)));
    world.schedule(at, [this, index] { sendOneShot(index); });
  }
  for (int index = 0; index < Streams; ++index) {
    world.schedule(milliseconds(world.random().below(LoadMs)),
                   [this, index] { sendStream(index); });
  }
  for (int round = 0; round < Faults; ++round) {
    world.schedule(milliseconds(world.random().below(LoadMs)), [this] { injectFault(); });
  }
  world.schedule(milliseconds(2'000 + world.random().below(6'000)), [this] { revoke(); });
  world.schedule(milliseconds(2'000 + world.random().below(6'000)), [this] { evacuate(); });
}

std::shared_ptr<CallerWriter> TrafficScenario::send(int front, http::Request request,
                                                    const std::string& caller_request_id,
                                                    const std::string& secret) {
  auto writer = std::make_shared<CallerWriter>();
  request.headers.push_back({"Authorization", "Bearer " + secret});
  request.headers.push_back({"Request-Id", caller_request_id});
  fleet_->fronts[front]->node().service().enqueue(std::move(request), writer);
  return writer;
}

void TrafficScenario::sendOneShot(int index) {
  const auto front = static_cast<int>(fleet_->world.random().below(Fronts));
  if (!fleet_->fronts[front]->running()) {
    return;
  }
  const std::string key = "k" + std::to_string(index % Keys);
  const std::string secret = index % 2 == 0 ? "lasting" : "revoked";
  const std::string id = secret + "-o" + std::to_string(index);
  const auto writer = send(
      front,
      {"POST", "/v1/one-shots", {{"Idempotency-Key", key}}, R"({"service":"orders","payload":1})"},
      id, secret);
  one_shots_.push_back({key, fleet_->world.now(), writer, front, incarnations_[front], id});
  injectFaultDuringOneShot(front);
}

void TrafficScenario::injectFaultDuringOneShot(int number) {
  simulation::World& world = fleet_->world;
  if (!world.random().chance(OneShotFaultChance)) {
    return;
  }
  // A claim takes some milliseconds, a run at the worker some hundred.
  const std::uint64_t longest_ms = world.random().chance(0.5) ? 15 : 300;
  const bool kill = world.random().chance(0.5);
  const auto pause = milliseconds(500 + world.random().below(8'000));
  world.schedule(milliseconds(world.random().below(longest_ms)), [this, number, kill, pause] {
    FrontProcess& front = *fleet_->fronts[number];
    if (!front.running() || front.process.frozen()) {
      return;
    }
    if (kill) {
      killFront(number);
      return;
    }
    front.process.freeze();
    fleet_->world.schedule(pause, [&front] { front.process.wake(); });
  });
}

void TrafficScenario::sendStream(int index) {
  const auto front = static_cast<int>(fleet_->world.random().below(Fronts));
  if (!fleet_->fronts[front]->running()) {
    return;
  }
  const std::string secret = index % 2 == 0 ? "lasting" : "revoked";
  const std::string id = secret + "-s" + std::to_string(index);
  const auto writer =
      send(front,
           {"POST",
            "/v1/chat/completions",
            {},
            R"({"model":"large","stream":true,"messages":[{"role":"user","content":"hi"}]})"},
           id, secret);
  streams_.push_back({writer, front, incarnations_[front], id});
}

void TrafficScenario::injectFault() {
  base::RandomSource& random = fleet_->world.random();
  switch (random.below(6)) {
    case 0:
      fleet_->network.cut(frontAddress(static_cast<int>(random.below(Fronts))),
                          coreAddress(static_cast<int>(random.below(Cores))));
      break;
    case 1:
      fleet_->network.conditions.loss = 0.1 * random.uniform();
      break;
    case 2:
      fleet_->network.healAll();
      for (const int front : suspended_) {
        setReachable(front, false);
      }
      break;
    case 3:
      injectCoreFault();
      break;
    default:
      injectFrontFault();
      break;
  }
}

void TrafficScenario::injectFrontFault() {
  simulation::World& world = fleet_->world;
  const auto number = static_cast<int>(world.random().below(Fronts));
  FrontProcess& front = *fleet_->fronts[number];
  if (!front.running() || front.process.frozen()) {
    return;
  }
  if (world.random().chance(0.5)) {
    const bool suspended = world.random().chance(SuspensionChance);
    if (suspended) {
      suspended_.insert(number);
      setReachable(number, false);
    }
    front.process.freeze();
    world.schedule(milliseconds(200 + world.random().below(LongestFreezeMs)),
                   [this, &front, number, suspended] {
                     if (suspended) {
                       endSuspension(number);
                     }
                     front.process.wake();
                   });
    return;
  }
  killFront(number);
}

void TrafficScenario::endSuspension(int number) {
  simulation::World& world = fleet_->world;
  suspended_.erase(number);
  // The machine reaches one core at once and the others later.
  const auto core = static_cast<int>(world.random().below(Cores));
  fleet_->network.heal(frontAddress(number), coreAddress(core));
  world.schedule(milliseconds(world.random().below(LongestReconnectMs)), [this, number] {
    if (!suspended_.contains(number)) {
      setReachable(number, true);
    }
  });
}

void TrafficScenario::setReachable(int number, bool reachable) {
  std::vector<base::NodeAddress> peers;
  for (int core = 0; core < Cores; ++core) {
    peers.push_back(coreAddress(core));
  }
  for (int front = 0; front < Fronts; ++front) {
    if (front != number) {
      peers.push_back(frontAddress(front));
    }
  }
  for (const base::NodeAddress& peer : peers) {
    if (reachable) {
      fleet_->network.heal(frontAddress(number), peer);
    } else {
      fleet_->network.cut(frontAddress(number), peer);
    }
  }
}

void TrafficScenario::killFront(int number) {
  ++incarnations_[number];
  FrontProcess& front = *fleet_->fronts[number];
  front.kill();
  fleet_->world.schedule(milliseconds(100 + fleet_->world.random().below(2'000)), [&front] {
    if (!front.running()) {
      front.start();
    }
  });
}

void TrafficScenario::injectCoreFault() {
  simulation::World& world = fleet_->world;
  const bool all = world.random().chance(0.2);
  const auto chosen = static_cast<int>(world.random().below(Cores));
  for (int number = 0; number < Cores; ++number) {
    CoreProcess& core = *fleet_->cores[number];
    if ((!all && number != chosen) || !core.incarnation || core.process.frozen()) {
      continue;
    }
    const auto pause = milliseconds(100 + world.random().below(4'000));
    if (!all && world.random().chance(0.5)) {
      core.process.freeze();
      world.schedule(pause, [&core] { core.process.wake(); });
      continue;
    }
    core.kill();
    world.schedule(pause, [&core] {
      if (!core.incarnation) {
        core.start();
      }
    });
  }
}

void TrafficScenario::healAll() {
  suspended_.clear();
  fleet_->network.healAll();
  fleet_->network.conditions.loss = 0;
  for (const auto& core : fleet_->cores) {
    core->process.wake();
    if (!core->incarnation) {
      core->start();
    }
  }
  for (const auto& front : fleet_->fronts) {
    front->process.wake();
    if (!front->running()) {
      front->start();
    }
  }
}

void TrafficScenario::sendOperatorRequest(const http::Request& operator_request, int attempts_left,
                                          std::function<void()> acknowledged) {
  simulation::World& world = fleet_->world;
  const auto front = static_cast<int>(world.random().below(Fronts));
  if (fleet_->fronts[front]->running()) {
    auto writer = std::make_shared<CallerWriter>();
    operator_writers_.push_back(writer);
    http::Request request = operator_request;
    request.headers.push_back({"Authorization", "Bearer operator"});
    writer->answered = [acknowledged,
                        done = std::make_shared<bool>(false)](const http::Response& response) {
      if (response.status == 200 && !*done) {
        *done = true;
        acknowledged();
      }
    };
    fleet_->fronts[front]->node().service().enqueue(std::move(request), writer);
  }
  if (attempts_left > 0) {
    // The operator resends the request whether or not a response has arrived.
    world.schedule(milliseconds(700), [this, operator_request, attempts_left, acknowledged] {
      sendOperatorRequest(operator_request, attempts_left - 1, acknowledged);
    });
  }
}

void TrafficScenario::revoke() {
  sendOperatorRequest({"DELETE", "/v1/keys/revoked?change_id=revocation", {}, ""}, OperatorRetries,
                      [this] {
                        if (!revoked_) {
                          revoked_ = fleet_->world.now();
                        }
                      });
}

void TrafficScenario::evacuate() {
  const std::string path = "/v1/zones/" + std::string(EvacuatedZone) + "/evacuation";
  sendOperatorRequest({"POST", path, {}, R"({"change_id":"empty-zone"})"}, OperatorRetries, [this] {
    if (!evacuated_) {
      evacuated_ = fleet_->world.now();
    }
  });
}

}  // namespace switchsaddle::front
