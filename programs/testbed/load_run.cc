#include "load_run.h"

#include <boost/asio/io_context.hpp>
#include <filesystem>

#include "switchsaddle/base/error.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/load/load_runner.h"
#include "switchsaddle/testbed/records/json_fields.h"
#include "switchsaddle/transport/asio_dispatcher.h"

namespace switchsaddle::testbed_commands {
namespace {

/** Calls still open this long after the last arrival are left unanswered in the record. */
constexpr base::Duration LongestTail = std::chrono::seconds(90);

testbed::LoadTargets readTargets(const LoadOrder& order) {
  const auto state = testbed::parseFleetState(testbed::readTextFile(order.fleet));
  testbed::LoadTargets targets;
  for (const testbed::FleetProcess& process : state.processes) {
    if (process.role == testbed::ProcessRole::Front) {
      targets.fronts.push_back(process.http_address);
    }
  }
  if (order.direct) {
    targets.workers =
        testbed::parseWorkersFile(testbed::readTextFile(state.directory + "/workers.json"));
  }
  if (targets.fronts.empty() && targets.workers.empty()) {
    throw base::Error(base::ResultCode::InvalidValue, "the fleet has no target for the load");
  }
  return targets;
}

}  // namespace

std::uint64_t runLoad(const LoadOrder& order) {
  auto plan = testbed::parseLoadPlan(testbed::readTextFile(order.load));
  for (const std::string& burst : order.bursts) {
    plan.bursts.push_back(testbed::parseLoadBurst(burst));
  }
  if (std::filesystem::exists(order.record)) {
    throw base::Error(base::ResultCode::InvalidValue, order.record + " exists already");
  }
  boost::asio::io_context context{1};
  transport::AsioDispatcher dispatcher(context);
  const auto client = http::createClient(context);
  testbed::FileCallSink sink(order.record);
  const base::Duration duration = std::chrono::seconds(order.seconds);
  testbed::LoadRunner runner(std::move(plan), readTargets(order), order.seed, duration,
                             testbed::CallRecorder{dispatcher, sink}, *client,
                             [&context] { context.stop(); });
  const auto limit = dispatcher.createTimer([&context] { context.stop(); });
  dispatcher.post([&] {
    limit->enable(duration + LongestTail);
    runner.start();
  });
  context.run();
  return runner.callsSent();
}

}  // namespace switchsaddle::testbed_commands
