#include "load_run.h"

#include <boost/asio/io_context.hpp>
#include <filesystem>

#include "switchsaddle/base/error.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/laboratory/fleet_layout.h"
#include "switchsaddle/laboratory/json_fields.h"
#include "switchsaddle/laboratory/load_runner.h"
#include "switchsaddle/transport/asio_dispatcher.h"

namespace switchsaddle::lab {
namespace {

/** Calls still open this long after the last arrival are left unanswered in the record. */
constexpr base::Duration LongestTail = std::chrono::seconds(90);

laboratory::LoadTargets readTargets(const LoadOrder& order) {
  const auto state = laboratory::parseFleetState(laboratory::readTextFile(order.fleet));
  laboratory::LoadTargets targets;
  for (const laboratory::FleetProcess& process : state.processes) {
    if (process.role == laboratory::ProcessRole::Front) {
      targets.fronts.push_back(process.http_address);
    }
  }
  if (order.direct) {
    targets.workers =
        laboratory::parseWorkersFile(laboratory::readTextFile(state.directory + "/workers.json"));
  }
  if (targets.fronts.empty() && targets.workers.empty()) {
    throw base::Error(base::ResultCode::InvalidValue, "the fleet has no target for the load");
  }
  return targets;
}

}  // namespace

std::uint64_t runLoad(const LoadOrder& order) {
  auto plan = laboratory::parseLoadPlan(laboratory::readTextFile(order.load));
  for (const std::string& crowd : order.crowds) {
    plan.crowds.push_back(laboratory::parseCrowd(crowd));
  }
  if (std::filesystem::exists(order.record)) {
    throw base::Error(base::ResultCode::InvalidValue, order.record + " exists already");
  }
  boost::asio::io_context context{1};
  transport::AsioDispatcher dispatcher(context);
  const auto client = http::createClient(context);
  laboratory::FileCallSink sink(order.record);
  const base::Duration duration = std::chrono::seconds(order.seconds);
  laboratory::LoadRunner runner(std::move(plan), readTargets(order), order.seed, duration,
                                laboratory::CallRecorder{dispatcher, sink}, *client,
                                [&context] { context.stop(); });
  const auto limit = dispatcher.createTimer([&context] { context.stop(); });
  dispatcher.post([&] {
    limit->enable(duration + LongestTail);
    runner.start();
  });
  context.run();
  return runner.callsSent();
}

}  // namespace switchsaddle::lab
