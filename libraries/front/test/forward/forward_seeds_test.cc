#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>

#include "fakes.h"
#include "forward/forward_fakes.h"
#include "switchsaddle/front/forward/forward_flow.h"
#include "switchsaddle/simulation/process.h"
#include "switchsaddle/streams/event_splitter.h"

namespace switchsaddle::front {
namespace {

using configuration::ForwardKind;
using std::chrono::milliseconds;

constexpr std::uint64_t Events = 12;
constexpr int Requests = 60;
constexpr double RetryShare = 0.2;
constexpr double RetryExtra = 10;

std::string eventText(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: event " + std::to_string(id) + "\n\n";
}

/** Workers that run requests, or at random reject, fail, truncate or lose them. Counts the runs. */
class FaultyForwardPort : public ForwardPort {
 public:
  FaultyForwardPort(simulation::World& world, simulation::Process& process)
      : world_(world), process_(process) {}

  WorkerCallPtr forward(ForwardDispatch dispatch,
                        std::shared_ptr<ForwardObserver> observer) override {
    auto call = std::make_shared<Call>();
    call->dispatch = std::move(dispatch);
    call->observer = std::move(observer);
    after(call, [this, call] { decide(call); });
    return call;
  }

  /** Runs that have begun, by request id. */
  std::map<std::string, int> runs;
  std::map<std::string, int> arrivals;

 private:
  struct Call : WorkerCall {
    void cancel() override { cancelled = true; }
    ForwardDispatch dispatch;
    std::shared_ptr<ForwardObserver> observer;
    bool cancelled = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  void after(const CallPtr& call, std::function<void()> action) {
    process_.postAfter(milliseconds(1 + world_.random().below(40)),
                       [call, action = std::move(action)] {
                         if (!call->cancelled) {
                           action();
                         }
                       });
  }
  static http::Response headOf(const CallPtr& call, std::uint16_t status) {
    return {status, {{"Request-Id", call->dispatch.request_id}, {"Seal", "sealed"}}, {}};
  }
  void decide(const CallPtr& call) {
    const std::uint64_t chance = world_.random().below(100);
    if (chance < 8) {
      call->observer->onFailure(WorkerFailure::NotSent, true);
      return;
    }
    ++arrivals[call->dispatch.request_id];
    if (chance < 16) {
      call->observer->onHead({503, {{"Not-Run", "1"}}, {}});
    } else if (chance < 20) {
      call->observer->onHead({421, {}, {}});
    } else {
      run(call, chance);
    }
  }
  void run(const CallPtr& call, std::uint64_t chance) {
    ++runs[call->dispatch.request_id];
    if (chance < 28) {
      call->observer->onFailure(WorkerFailure::Lost, false);
    } else if (chance < 32) {
      // The worker does not respond: the deadline ends the request.
    } else if (chance < 36) {
      answer(call, 500, "failed");
    } else if (call->dispatch.message.target.find("stream") != std::string::npos) {
      call->observer->onHead(headOf(call, 200));
      const std::string_view last = call->dispatch.message.header("Last-Event-ID");
      sendEvent(call, last.empty() ? 1 : std::stoull(std::string(last)) + 1);
    } else if (chance < 44) {
      call->observer->onHead(headOf(call, 200));
      call->observer->onBytes("wh", [] {});
      after(call, [call] { call->observer->onFailure(WorkerFailure::Lost, false); });
    } else {
      answer(call, 200, "whole");
    }
  }
  void answer(const CallPtr& call, std::uint16_t status, const std::string& body) {
    call->observer->onHead(headOf(call, status));
    call->observer->onBytes(body, [] {});
    after(call, [call] { call->observer->onComplete(); });
  }
  void sendEvent(const CallPtr& call, std::uint64_t id) {
    after(call, [this, call, id] {
      if (id > Events) {
        call->observer->onComplete();
        return;
      }
      const std::string text = eventText(id);
      const std::uint64_t chance = world_.random().below(100);
      if (chance < 5) {
        call->observer->onBytes(text.substr(0, text.size() / 2), [] {});
        after(call, [call] { call->observer->onFailure(WorkerFailure::Lost, false); });
        return;
      }
      call->observer->onBytes(text, [] {});
      if (chance < 8) {
        // The connection is lost after a complete event.
        after(call, [call] { call->observer->onFailure(WorkerFailure::Lost, false); });
        return;
      }
      sendEvent(call, id + 1);
    });
  }

  simulation::World& world_;
  simulation::Process& process_;
};

/** One request that was sent, with its kind and the response. */
struct SentRequest {
  std::string id;
  ForwardKind kind = ForwardKind::AtMostOnce;
  std::shared_ptr<ForwardWriter> writer;
};

class ForwardSeedsTest : public testing::Test {
 protected:
  /** Runs one seed and checks what callers and workers received. */
  class SeedRun {
   public:
    explicit SeedRun(std::uint64_t seed) : world_(seed) {
      addRoute("once", ForwardKind::AtMostOnce, 1);
      addRoute("again", ForwardKind::Idempotent, 2);
      addRoute("stream", ForwardKind::EventStream, 1);
      addRoute("resumed-stream", ForwardKind::ResumableStream, 2);
      fleet_view_.view.forwarding.pools["shop"].name = "shop";
      fleet_view_.view.forwarding.index();
      for (int worker = 0; worker < 6; ++worker) {
        fleet_view_.addWorker("w" + std::to_string(worker), "shop");
      }
    }

    void run() {
      const std::array<const char*, 4> routes{"once", "again", "stream", "resumed-stream"};
      for (int request = 0; request < Requests; ++request) {
        sendRequest(routes.at(world_.random().below(routes.size())),
                    "r-" + std::to_string(request));
        world_.runFor(milliseconds(world_.random().below(60)));
      }
      world_.runFor(milliseconds(2'100));
    }
    void checkHistory() const {
      double retries = 0;
      for (const SentRequest& request : requests_) {
        checkRequest(request);
        retries += std::max(0, countOf(port_.arrivals, request.id) - 1);
      }
      EXPECT_LE(retries, RetryShare * Requests + RetryExtra);
      EXPECT_EQ(flow_.active(), 0U);
    }

   private:
    void addRoute(const std::string& name, ForwardKind kind, std::uint32_t attempts) {
      configuration::ForwardRoute& route = fleet_view_.view.forwarding.routes[name];
      route.name = name;
      route.host = "h";
      route.path_prefix = "/" + name + "/";
      route.kind = kind;
      route.targets = {{"shop", 1}};
      route.attempts = attempts;
      route.time_limit_ms = 2'000;
    }
    void sendRequest(const std::string& route, const std::string& id) {
      http::Request message{"POST", "/" + route + "/", {{"Host", "h"}, {"Request-Id", id}}, "b"};
      const ForwardKind kind = fleet_view_.view.forwarding.routes.at(route).kind;
      requests_.push_back({id, kind, std::make_shared<ForwardWriter>()});
      flow_.run(parseForwardRequest(fleet_view_.configuration(), std::move(message), {}),
                requests_.back().writer);
    }
    static int countOf(const std::map<std::string, int>& counts, const std::string& id) {
      const auto found = counts.find(id);
      return found == counts.end() ? 0 : found->second;
    }
    void checkRequest(const SentRequest& request) const {
      const int runs = countOf(port_.runs, request.id);
      const bool idempotent = configuration::isIdempotent(request.kind);
      EXPECT_LE(runs, idempotent ? 2 : 1) << request.id;
      const ForwardWriter& writer = *request.writer;
      EXPECT_TRUE(writer.response || writer.ended || writer.aborted) << request.id;
      if (writer.response) {
        checkResponse(*writer.response, runs, idempotent);
      } else {
        checkStream(writer);
      }
    }
    static void checkResponse(const http::Response& response, int runs, bool idempotent) {
      if (response.status == 503 || response.status == 429) {
        EXPECT_TRUE(runs == 0 || idempotent);
        EXPECT_FALSE(response.header("Retry-After").empty());
      }
      const bool from_worker = !response.header("Seal").empty();
      EXPECT_EQ(from_worker, response.status == 200 || response.status == 500);
      if (response.status == 200) {
        EXPECT_EQ(response.body, "whole");
        EXPECT_GE(runs, 1);
      }
    }
    static void checkStream(const ForwardWriter& writer) {
      streams::EventSplitter splitter;
      std::vector<streams::RawEvent> events;
      EXPECT_TRUE(splitter.feed(writer.body, events));
      EXPECT_FALSE(splitter.midEvent());
      for (std::size_t index = 0; index < events.size(); ++index) {
        EXPECT_EQ(events[index].bytes, eventText(index + 1));
      }
      if (writer.ended && !writer.aborted) {
        EXPECT_EQ(events.size(), Events);
      }
    }

    simulation::World world_;
    simulation::Process process_{world_};
    FaultyForwardPort port_{world_, process_};
    FakeRouter router_;
    FakeFleetView fleet_view_;
    RetryBudget retries_{process_};
    WorkerCircuit circuit_{process_};
    QuotaMeter quotas_{process_, {}};
    worker_health::EvidenceRecorder health_{process_};
    ForwardPlacer placer_{process_, world_.random(), router_,
                          circuit_, fleet_view_,     {"127.0.0.1", 1}};
    Counters counters_;
    ForwardFlow flow_{ForwardEnvironment{process_,
                                         world_.random(),
                                         port_,
                                         placer_,
                                         fleet_view_,
                                         retries_,
                                         circuit_,
                                         quotas_,
                                         health_,
                                         counters_,
                                         {},
                                         {RetryShare, RetryExtra}}};
    std::vector<SentRequest> requests_;
  };
};

TEST_F(ForwardSeedsTest, InvariantsHoldUnderWorkerFaults) {
  for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
    SeedRun seed_run(seed);
    seed_run.run();
    seed_run.checkHistory();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace switchsaddle::front
