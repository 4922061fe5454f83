#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
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

/** The command line of `lab load`. */
struct LoadArguments {
  std::string fleet;
  std::string load;
  std::string record;
  int seconds = 30;
  std::uint64_t seed = 1;
  bool direct = false;
  std::vector<std::string> crowds;
};

laboratory::LoadTargets readTargets(const LoadArguments& arguments) {
  const auto state = laboratory::parseFleetState(laboratory::readTextFile(arguments.fleet));
  laboratory::LoadTargets targets;
  for (const laboratory::FleetProcess& process : state.processes) {
    if (process.role == laboratory::ProcessRole::Front) {
      targets.fronts.push_back(process.http_address);
    }
  }
  if (arguments.direct) {
    targets.workers =
        laboratory::parseWorkersFile(laboratory::readTextFile(state.directory + "/workers.json"));
  }
  if (targets.fronts.empty() && targets.workers.empty()) {
    throw base::Error(base::ResultCode::InvalidValue, "the fleet has no target for the load");
  }
  return targets;
}

void runLoad(const LoadArguments& arguments) {
  auto plan = laboratory::parseLoadPlan(laboratory::readTextFile(arguments.load));
  for (const std::string& crowd : arguments.crowds) {
    plan.crowds.push_back(laboratory::parseCrowd(crowd));
  }
  if (std::filesystem::exists(arguments.record)) {
    throw base::Error(base::ResultCode::InvalidValue, arguments.record + " exists already");
  }
  boost::asio::io_context context{1};
  transport::AsioDispatcher dispatcher(context);
  const auto client = http::createClient(context);
  laboratory::FileCallSink sink(arguments.record);
  const base::Duration duration = std::chrono::seconds(arguments.seconds);
  laboratory::LoadRunner runner(std::move(plan), readTargets(arguments), arguments.seed, duration,
                                laboratory::CallRecorder{dispatcher, sink}, *client,
                                [&context] { context.stop(); });
  const auto limit = dispatcher.createTimer([&context] { context.stop(); });
  dispatcher.post([&] {
    limit->enable(duration + LongestTail);
    runner.start();
  });
  context.run();
  std::cout << "calls sent: " << runner.callsSent() << "\n";
}

}  // namespace

void addLoadCommand(CLI::App& app) {
  auto arguments = std::make_shared<LoadArguments>();
  CLI::App* command = app.add_subcommand("load", "Send a load and record what callers see");
  command->add_option("--fleet", arguments->fleet, "The fleet's fleet.json")->required();
  command->add_option("--load", arguments->load, "Load file")->required();
  command->add_option("--record", arguments->record, "File to record into; must not exist")
      ->required();
  command->add_option("--seconds", arguments->seconds, "How long requests arrive");
  command->add_option("--seed", arguments->seed, "Seed of the arrivals; keys hold it");
  command->add_flag("--direct", arguments->direct, "Straight to the workers, without the fronts");
  command->add_option("--crowd", arguments->crowds,
                      "TENANT:FACTOR:FROM:TO: a tenant, or all, many times as often for a time");
  command->callback([arguments] { runLoad(*arguments); });
}

}  // namespace switchsaddle::lab
