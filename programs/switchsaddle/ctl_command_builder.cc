#include "ctl_command_builder.h"

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

#include "ctl_transport.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/command_line/command_line.h"

namespace switchsaddle {

namespace {

using operator_client::ExitCode;
using operator_client::OperatorClient;

constexpr auto WatchInterval = std::chrono::seconds(1);
/** Terminal control sequence: moves the cursor to the upper left corner and clears the screen. */
constexpr const char* ClearScreen = "\x1b[H\x1b[2J";
const std::string ExampleStart = "switchsaddle ctl --address 10.0.0.1:8000 --key-file key ";

/** @return the key of the options; the first line of the key file if there is one. */
std::string operatorKey(const CtlOptions& options) {
  if (options.key_file.empty()) {
    return options.key;
  }
  const std::string text = readInputFile(options.key_file);
  return text.substr(0, text.find_first_of("\r\n"));
}

ExitCode runAction(const CtlOptions& options, const CtlCommandBuilder::Action& action) {
  std::vector<base::NodeAddress> addresses;
  for (const std::string& address : options.addresses) {
    addresses.push_back(base::NodeAddress::parse(address));
  }
  const auto transport = createControlTransport();
  operator_client::ControlEndpoint endpoint(*transport, std::move(addresses), operatorKey(options));
  OperatorClient client(endpoint, options.json, std::cout, std::cerr);
  return action(client);
}

/** Runs the action; errors in the command line or its files are written to the standard error. */
ExitCode runReportingErrors(const CtlOptions& options, const CtlCommandBuilder::Action& action) {
  try {
    return runAction(options, action);
  } catch (const base::Error& error) {
    const base::ResultCodeInfo& info = base::describe(error.code());
    std::cerr << "switchsaddle ctl: " << static_cast<int>(info.code) << " " << info.name << ": "
              << error.what() << "\n";
    return ExitCode::Usage;
  }
}

}  // namespace

operator_client::ChangeOptions ChangeArguments::toOptions() const {
  operator_client::ChangeOptions options{change_id, std::nullopt, dry_run};
  if (has_base_version) {
    options.base_version = base_version;
  }
  return options;
}

CtlCommandBuilder::CtlCommandBuilder(CLI::App& app, int& exit_code)
    : options_(std::make_shared<CtlOptions>()), exit_code_(exit_code) {
  command_ =
      app.add_subcommand("ctl", "Read and change the state of a fleet through its control API");
  command_line::describeUse(*command_, {ExampleStart + "status"});
  command_->fallthrough();
  command_->require_subcommand(1);
  command_
      ->add_option("--address", options_->addresses,
                   "HTTP addresses of nodes, tried in this order: IP:PORT[,IP:PORT...]")
      ->delimiter(',')
      ->required();
  CLI::Option* key = command_->add_option("--key", options_->key, "Operator key (default: none)");
  command_
      ->add_option("--key-file", options_->key_file, "File whose first line is the operator key")
      ->excludes(key);
  command_->add_flag("--json", options_->json, "Write responses as JSON (default: tables)");
}

CLI::App* CtlCommandBuilder::addGroup(const CtlSubcommand& group) {
  CLI::App* command = command_->add_subcommand(group.name, group.help);
  command->fallthrough();
  command_line::describeUse(*command, {ExampleStart + group.example});
  command->require_subcommand(1);
  return command;
}

CLI::App* CtlCommandBuilder::add(const CtlSubcommand& subcommand, Action action) {
  return add(command_, subcommand, std::move(action));
}

CLI::App* CtlCommandBuilder::add(CLI::App* group, const CtlSubcommand& subcommand, Action action) {
  CLI::App* command = group->add_subcommand(subcommand.name, subcommand.help);
  command_line::describeUse(*command, {ExampleStart + subcommand.example});
  command->fallthrough();
  command->callback([options = options_, &exit_code = exit_code_, action = std::move(action)] {
    exit_code = static_cast<int>(runReportingErrors(*options, action));
  });
  return command;
}

void addChangeIdOption(CLI::App* subcommand, std::string& change_id) {
  subcommand->add_option("--change-id", change_id,
                         "Idempotency key of the change; a retry must repeat it (default: random)");
}

void addChangeOptions(CLI::App* subcommand, const std::shared_ptr<ChangeArguments>& arguments) {
  addChangeIdOption(subcommand, arguments->change_id);
  subcommand
      ->add_option(
          "--base-version", arguments->base_version,
          "Configuration version that the change is based on (default: the version in force, or "
          "the original one of a change that --change-id repeats)")
      ->each([arguments](const std::string&) { arguments->has_base_version = true; });
  subcommand->add_flag("--dry-run", arguments->dry_run, "Validate the change without writing it");
}

void addWatchOption(CLI::App* subcommand, bool& watch) {
  subcommand->add_flag("--watch", watch, "Show the current state every second until interrupted");
}

ExitCode showResource(OperatorClient& client, const std::string& target, bool watch) {
  const ExitCode code = client.show(target);
  if (!watch) {
    return code;
  }
  while (true) {
    std::this_thread::sleep_for(WatchInterval);
    std::cout << (isatty(STDOUT_FILENO) != 0 ? ClearScreen : "\n");
    client.show(target);
    std::cout << std::flush;
  }
}

std::string readInputFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw base::Error(base::ResultCode::UnknownPath,
                      "the file " + path + " cannot be opened or read");
  }
  return text.str();
}

}  // namespace switchsaddle
