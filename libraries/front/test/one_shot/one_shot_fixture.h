#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "fakes.h"
#include "switchsaddle/front/one_shot/one_shot_flow.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {

/** The idempotency key of the tests' requests. */
inline const std::string Key = "k1";

/** A flow of one-shot requests with fake dependencies and two workers. */
class OneShotFlowTest : public testing::Test {
 protected:
  OneShotFlowTest() {
    fleet_view.view.routes["orders"] = configuration::Route{"orders", "orders", {}, "ordinary"};
    fleet_view.addWorker("w1", "ordinary");
    fleet_view.addWorker("w2", "ordinary");
  }
  std::shared_ptr<std::optional<OneShotAnswer>> run(
      std::uint64_t fingerprint = 7, const std::string& key_hash = FakeFleetView::KeyHash) {
    auto result = std::make_shared<std::optional<OneShotAnswer>>();
    OneShotRequest request;
    request.key_hash = key_hash;
    request.tenant = "editors";
    request.service = "orders";
    request.idempotency_key = Key;
    request.fingerprint = fingerprint;
    request.body = "{}";
    flow->run(request, [result](const OneShotAnswer& answer) {
      EXPECT_FALSE(result->has_value()) << "answered twice";
      *result = answer;
    });
    return result;
  }
  /** Counts 100 first attempts, so that the budget allows retries. */
  void fillBudget() {
    for (int count = 0; count < 100; ++count) {
      retries.countFirstAttempt("orders");
    }
  }
  void passDeadline() { world.runFor(std::chrono::seconds(11)); }

  simulation::World world{1};
  simulation::Process process{world};
  FakeClaims claims;
  FakeSlots slots;
  FakeSession session;
  FakeWorkers workers;
  FakeFleetView fleet_view;
  RetryBudget retries{process};
  WorkerCircuit circuit{process};
  Counters counters;
  std::unique_ptr<OneShotFlow> flow = std::make_unique<OneShotFlow>(
      OneShotEnvironment{process, world.random(), claims, slots, session, workers, fleet_view,
                         retries, circuit, counters});
};

}  // namespace switchsaddle::front
