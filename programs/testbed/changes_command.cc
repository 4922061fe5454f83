#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "commands.h"
#include "http_probe.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/records/json_fields.h"
#include "switchsaddle/transport/system_boot_clock.h"

namespace switchsaddle::testbed_commands {
namespace {

constexpr base::Duration AnswerLimit = std::chrono::seconds(10);

/** The command line of `switchsaddle-testbed changes`. */
struct ChangesArguments {
  std::string fleet;
  std::string record;
  std::string prefix = "change";
  int count = 20;
  int pause_ms = 500;
};

std::int64_t nowMilliseconds() {
  return base::toMilliseconds(transport::SystemBootClock::now().time_since_epoch());
}

http::Request evacuation(const ChangesArguments& arguments, const std::string& key, int number) {
  http::Request request;
  const bool begins = number % 2 == 0;
  request.method = begins ? "POST" : "DELETE";
  request.target = "/v1/zones/lab-" + arguments.prefix + "/evacuation";
  request.headers = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + key}};
  request.body = R"({"change_id":")" + arguments.prefix + "-" + std::to_string(number) + "\"}";
  return request;
}

std::uint64_t versionOf(const http::Response& response) {
  try {
    const boost::json::object body = testbed::parseObject(response.body);
    return static_cast<std::uint64_t>(testbed::integerField(body, "version", 0));
  } catch (const base::Error&) {
    return 0;
  }
}

void makeChanges(const ChangesArguments& arguments) {
  auto state = testbed::parseFleetState(testbed::readTextFile(arguments.fleet));
  std::vector<base::NodeAddress> cores;
  for (const testbed::FleetProcess& process : state.processes) {
    if (process.role == testbed::ProcessRole::Core) {
      cores.push_back(process.http_address);
    }
  }
  std::ofstream record(arguments.record);
  record << "number,sent_ms,answered_ms,status,version\n";
  for (int number = 0; number < arguments.count; ++number) {
    const base::NodeAddress& core = cores.at(static_cast<std::size_t>(number) % cores.size());
    const std::int64_t sent = nowMilliseconds();
    const auto answer =
        fetchOnce(core, evacuation(arguments, state.operator_key, number), AnswerLimit);
    const std::int64_t answered = nowMilliseconds();
    record << number << ',' << sent << ',' << answered << ',' << (answer ? answer->status : 0)
           << ',' << (answer ? versionOf(*answer) : 0) << std::endl;
    std::this_thread::sleep_for(std::chrono::milliseconds(arguments.pause_ms));
  }
}

}  // namespace

void addChangesCommand(CLI::App& app) {
  auto arguments = std::make_shared<ChangesArguments>();
  CLI::App* command = app.add_subcommand(
      "changes", "Send configuration changes to the cores of a fleet and record the answers");
  command->add_option("--fleet", arguments->fleet, "Path of the fleet's fleet.json")->required();
  command->add_option("--record", arguments->record, "CSV file to write, one line for each change")
      ->required();
  command->add_option("--prefix", arguments->prefix, "Prefix of each change_id (default change)");
  command->add_option("--count", arguments->count, "Number of changes (default 20)");
  command->add_option("--pause-ms", arguments->pause_ms,
                      "Pause after each answer in milliseconds (default 500)");
  command->callback([arguments] { makeChanges(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
