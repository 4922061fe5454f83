#pragma once

#include <gtest/gtest.h>

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
                                      allowance}};
};

}  // namespace switchsaddle::front
