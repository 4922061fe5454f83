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

/** Time to wait for answers after the last arrival. Later answers are not recorded. */
constexpr base::Duration AnswerWaitLimit = std::chrono::seconds(90);

testbed::LoadTargets readTargets(const LoadOptions& options) {
  const auto state = testbed::parseFleetState(testbed::readTextFile(options.fleet));
  testbed::LoadTargets targets;
  for (const testbed::FleetProcess& process : state.processes) {
    if (process.role == testbed::ProcessRole::Front) {
      targets.fronts.push_back(process.http_address);
    }
  }
  if (options.direct) {
    targets.workers =
        testbed::parseWorkersFile(testbed::readTextFile(state.directory + "/workers.json"));
  }
  if (targets.fronts.empty() && targets.workers.empty()) {
    throw base::Error(base::ResultCode::InvalidValue,
                      "the fleet has no front or worker to send the load to");
  }
  return targets;
}

}  // namespace

std::uint64_t runLoad(const LoadOptions& options) {
  auto plan = testbed::parseLoadPlan(testbed::readTextFile(options.load));
  for (const std::string& burst : options.bursts) {
    plan.bursts.push_back(testbed::parseLoadBurst(burst));
  }
  if (std::filesystem::exists(options.record)) {
    throw base::Error(base::ResultCode::InvalidValue,
                      options.record + " already exists; expected a new record file");
  }
  boost::asio::io_context context{1};
  transport::AsioDispatcher dispatcher(context);
  const auto client = http::createClient(context);
  testbed::FileCallSink sink(options.record);
  const base::Duration duration = std::chrono::seconds(options.seconds);
  testbed::LoadRunner runner(std::move(plan), readTargets(options), options.seed, duration,
                             testbed::CallRecorder{dispatcher, sink}, *client,
                             [&context] { context.stop(); });
  const auto limit = dispatcher.createTimer([&context] { context.stop(); });
  dispatcher.post([&] {
    limit->enable(duration + AnswerWaitLimit);
    runner.start();
  });
  context.run();
  return runner.callsSent();
}

}  // namespace switchsaddle::testbed_commands
