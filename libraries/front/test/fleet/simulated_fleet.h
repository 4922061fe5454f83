#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes.h"
#include "switchsaddle/core/node/core_node.h"
#include "switchsaddle/front/node/front_node.h"
#include "switchsaddle/simulation/network.h"
#include "switchsaddle/simulation/simulated_disk.h"
#include "switchsaddle/simulation/simulated_storage_executor.h"
#include "switchsaddle/storage/file_record_store.h"

namespace switchsaddle::front {

inline constexpr int Cores = 3;
inline constexpr int Fronts = 2;

inline base::NodeAddress coreAddress(int number) {
  return {"127.0.1." + std::to_string(number + 1), 1};
}

inline base::NodeAddress frontAddress(int number) {
  return {"127.0.2." + std::to_string(number + 1), 1};
}

/** @return the zone of a worker. Pairs of a model worker and an ordinary one alternate between two
 * zones. */
inline std::string zoneOfWorker(const base::NodeAddress& address) {
  return (address.port - 1) / 2 % 2 == 0 ? "a" : "b";
}

/** A platform that always lists the same workers, of models and of ordinary services. */
class FixedPlatform : public workers::PlatformSource {
 public:
  explicit FixedPlatform(int workers_per_pool) : workers_per_pool_(workers_per_pool) {}

  void read(std::function<void(workers::PlatformReading)> callback) override {
    workers::PlatformReading reading;
    reading.code = base::ResultCode::Ok;
    reading.generation = 1;
    for (int index = 0; index < 2 * workers_per_pool_; ++index) {
      const std::string pool = index % 2 == 0 ? "models" : "ordinary";
      wire::WorkerEntry worker;
      worker.id = pool + (index < 2 ? "" : "-" + std::to_string(index / 2 + 1));
      worker.address = {"127.0.3.1", static_cast<std::uint16_t>(reading.workers.size() + 1)};
      worker.zone = zoneOfWorker(worker.address);
      worker.models = {"large"};
      worker.service = pool;
      worker.slots = 8;
      reading.workers.push_back(worker);
    }
    callback(reading);
  }

 private:
  int workers_per_pool_;
};

/** Responds to every request at once, on the front's process. */
class PromptWorkers : public WorkerPort {
 public:
  explicit PromptWorkers(simulation::Process& process) : process_(process) {}

  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override {
    ++requests;
    auto call = std::make_shared<FakeWorkers::Call>();
    process_.post([request, observer, call] {
      WorkerHead head;
      head.status = 200;
      head.request_id = request.request_id;
      head.run = "r1";
      observer->onHead(head);
      const bool stream = request.idempotency_key.empty();
      observer->onBytes(stream ? "id: 0\ndata: {\"text\":\"a\"}\n\nid: 1\ndata: [DONE]\n\n" : "1",
                        [] {});
      if (!call->cancelled) {
        observer->onComplete();
      }
    });
    return call;
  }

  int requests = 0;

 private:
  simulation::Process& process_;
};

/** Records the response to one caller. */
class CallerWriter : public http::ResponseWriter {
 public:
  void respond(http::Response value) override {
    EXPECT_FALSE(response) << "a second response to one request";
    response = std::move(value);
    if (answered) {
      answered(*response);
    }
  }
  void startStream(http::Response value) override { response = std::move(value); }
  void writeChunk(std::string chunk, std::function<void(bool)> written) override {
    chunks += chunk;
    written(true);
  }
  void endStream() override { ended = true; }
  void abort() override { aborted = true; }
  void onClientDisconnected(std::function<void()>) override {}

  std::optional<http::Response> response;
  /** Runs with the response, if set. */
  std::function<void(const http::Response&)> answered;
  std::string chunks;
  bool ended = false;
  bool aborted = false;
};

/** A core whose process may be killed and restarted on its disk. */
struct CoreProcess {
  CoreProcess(simulation::World& core_world, simulation::Network& core_network,
              const configuration::Settings& common, int number, int workers_per_pool)
      : settings(common),
        world(core_world),
        network(core_network),
        process(world),
        disk(world.random().next()),
        platform(workers_per_pool) {
    settings.peer_address = coreAddress(number);
    start();
  }
  void start() {
    process.start();
    incarnation = std::make_unique<Incarnation>(*this);
    incarnation->node.start();
  }
  void kill() {
    process.kill();
    incarnation.reset();
    disk.resume();
  }
  /** State that is lost with the process. */
  struct Incarnation {
    explicit Incarnation(CoreProcess& core)
        : transport(core.network.attach(core.settings.peer_address, core.process)),
          calls(core.process, *transport),
          journal(core.process),
          executor(core.world, core.process),
          store(core.process, core.disk, executor, core.world.random()),
          node(core::CoreEnvironment{core.process, calls, store, core.world.random(), journal,
                                     core.platform, core.settings}) {}
    std::unique_ptr<transport::Transport> transport;
    transport::PeerCalls calls;
    journal::Journal journal;
    simulation::SimulatedStorageExecutor executor;
    storage::FileRecordStore store;
    core::CoreNode node;
  };
  configuration::Settings settings;
  simulation::World& world;
  simulation::Network& network;
  simulation::Process process;
  simulation::SimulatedDisk disk;
  FixedPlatform platform;
  std::unique_ptr<Incarnation> incarnation;
};

/** Creates the port to the workers of one front. */
using WorkerPortFactory =
    std::function<std::unique_ptr<WorkerPort>(simulation::World&, simulation::Process&)>;

/** Replaces dependencies in a front's environment by test doubles. */
using FrontAdjustment = std::function<void(FrontEnvironment&)>;

/** A front whose process may be killed and restarted. */
struct FrontProcess {
  FrontProcess(simulation::World& front_world, simulation::Network& front_network,
               const configuration::Settings& common, int number,
               const WorkerPortFactory& make_workers, FrontAdjustment front_adjustment = {})
      : settings(common),
        world(front_world),
        network(front_network),
        process(world),
        workers(make_workers(world, process)),
        adjustment(std::move(front_adjustment)) {
    settings.peer_address = frontAddress(number);
    start();
  }
  void start() {
    process.start();
    incarnation = std::make_unique<Incarnation>(*this);
    incarnation->node->start();
  }
  void kill() {
    process.kill();
    incarnation.reset();
  }
  bool running() const { return incarnation != nullptr; }
  FrontNode& node() { return *incarnation->node; }
  /** State that is lost with the process. */
  struct Incarnation {
    explicit Incarnation(FrontProcess& front)
        : transport(front.network.attach(front.settings.peer_address, front.process)),
          calls(front.process, *transport),
          journal(front.process) {
      FrontEnvironment environment{
          front.process,  calls,          front.world.random(),       journal,
          front.settings, *front.workers, front.world.random().next()};
      if (front.adjustment) {
        front.adjustment(environment);
      }
      node = std::make_unique<FrontNode>(environment);
    }
    std::unique_ptr<transport::Transport> transport;
    transport::PeerCalls calls;
    journal::Journal journal;
    std::unique_ptr<FrontNode> node;
  };
  configuration::Settings settings;
  simulation::World& world;
  simulation::Network& network;
  simulation::Process process;
  std::unique_ptr<WorkerPort> workers;
  FrontAdjustment adjustment;
  std::unique_ptr<Incarnation> incarnation;
};

/** Three cores and two fronts; network, disks, platform and workers are simulated. */
class Fleet {
 public:
  Fleet(std::uint64_t seed, const WorkerPortFactory& make_workers, int pool_size = 1,
        const FrontAdjustment& adjustment = {})
      : world(seed), workers_per_pool(pool_size) {
    configuration::Settings settings;
    settings.zone = "north";
    settings.operator_hashes = {configuration::sha256Hex("operator")};
    for (int number = 0; number < Cores; ++number) {
      settings.seeds.push_back(coreAddress(number));
    }
    settings.initial_cores = settings.seeds;
    for (int number = 0; number < Cores; ++number) {
      cores.push_back(std::make_unique<CoreProcess>(world, network, settings, number, pool_size));
    }
    for (int number = 0; number < Fronts; ++number) {
      fronts.push_back(std::make_unique<FrontProcess>(world, network, settings, number,
                                                      make_workers, adjustment));
    }
  }

  std::shared_ptr<CallerWriter> send(int front, http::Request request, const std::string& secret) {
    auto writer = std::make_shared<CallerWriter>();
    request.headers.push_back({"Authorization", "Bearer " + secret});
    fronts[front]->node().service().enqueue(std::move(request), writer);
    world.runUntil([&] { return writer->response.has_value(); }, std::chrono::seconds(15));
    world.runFor(std::chrono::milliseconds(10));
    EXPECT_TRUE(writer->response);
    return writer;
  }
  /** Retries a change until it is acknowledged.
   * @return the status of the last response. */
  int change(int front, const std::string& body) {
    int status = 0;
    for (int attempt = 0; attempt < 20 && status != 200; ++attempt) {
      status = send(front, {"POST", "/v1/configuration/changes", {}, body}, "operator")
                   ->response.value_or(http::Response{})
                   .status;
      world.runFor(std::chrono::milliseconds(500));
    }
    return status;
  }
  std::shared_ptr<CallerWriter> oneShot(int front, const std::string& key) {
    return send(front,
                {"POST",
                 "/v1/one-shots",
                 {{"Idempotency-Key", key}},
                 R"({"service":"orders","payload":1})"},
                "secret");
  }
  std::shared_ptr<CallerWriter> stream(int front) {
    return send(front,
                {"POST",
                 "/v1/chat/completions",
                 {},
                 R"({"model":"large","stream":true,"messages":[{"role":"user","content":"hi"}]})"},
                "secret");
  }
  bool allReady() {
    return world.runUntil([this] { return allReadyNow(); }, std::chrono::seconds(30));
  }
  bool allReadyNow() const {
    bool ready = true;
    for (const auto& front : fronts) {
      ready = ready && front->running() && front->node().ready() &&
              static_cast<int>(front->node().directory().snapshot()->workers.size()) ==
                  2 * workers_per_pool;
    }
    return ready;
  }

  simulation::World world;
  int workers_per_pool;
  simulation::Network network{world};
  std::vector<std::unique_ptr<CoreProcess>> cores;
  std::vector<std::unique_ptr<FrontProcess>> fronts;
};

inline std::string fullConfiguration() {
  return R"({"change_id":"c1","base_version":0,"document":{
    "shapes/chat": {"services": ["completions", "orders"], "first_token_ms": 9000},
    "tenants/editors": {"shape": "chat", "stream_branch": "root", "one_shot_branch": "root"},
    "share/root": {"slots": 10},
    "routes/large": {"service": "completions", "models": ["large"], "pool": "models"},
    "routes/orders": {"service": "orders", "pool": "ordinary"},
    "keys/k": {"sha256": ")" +
         configuration::sha256Hex("secret") + R"(", "tenant": "editors"}}})";
}

}  // namespace switchsaddle::front
