#pragma once

#include <gtest/gtest.h>

#include <memory>

#include "fakes.h"
#include "forward/forward_fakes.h"
#include "switchsaddle/front/forward/forward_flow.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {

/** A ForwardFlow with fake dependencies in a simulated world. */
class ForwardFixture : public testing::Test {
 protected:
  explicit ForwardFixture(RetryAllowance retry_allowance) : allowance(retry_allowance) {}

  RetryAllowance allowance;
  simulation::World world{1};
  simulation::Process process{world};
  FakeForwardPort port;
  FakeRouter router;
  FakeFleetView fleet_view;
  RetryBudget retries{process};
  WorkerCircuit circuit{process};
  QuotaMeter quotas{process, {}};
  worker_health::EvidenceRecorder health{process};
  ForwardPlacer placer{process, world.random(), router, circuit, fleet_view, {"127.0.0.1", 1}};
  Counters counters;
  std::shared_ptr<base::ByteBudget> response_memory = std::make_shared<base::ByteBudget>(256 << 10);
  ForwardFlow flow{ForwardEnvironment{process,
                                      world.random(),
                                      port,
                                      placer,
                                      fleet_view,
                                      retries,
                                      circuit,
                                      quotas,
                                      health,
                                      counters,
                                      {},
                                      allowance,
                                      nullptr,
                                      response_memory}};
};

}  // namespace switchsaddle::front
