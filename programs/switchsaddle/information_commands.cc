#include "information_commands.h"

#include <iostream>
#include <memory>

#include "switchsaddle/command_line/command_line.h"

namespace switchsaddle {

namespace {

void addVersion(CLI::App& app) {
  auto json = std::make_shared<bool>(false);
  CLI::App* command = app.add_subcommand("version", "Print the version of this program");
  command->add_flag("--json", *json, "Write the version as JSON (default: text)");
  command_line::describeUse(*command, {"switchsaddle version"});
  command->callback([json] {
    if (*json) {
      std::cout << "{\"version\":\"" << SWITCHSADDLE_VERSION << "\"}\n";
    } else {
      std::cout << SWITCHSADDLE_VERSION << "\n";
    }
  });
}

void addCompletion(CLI::App& app) {
  auto shell = std::make_shared<std::string>();
  CLI::App* command = app.add_subcommand("completion", "Print a completion script for a shell");
  command->add_option("shell", *shell, "Shell that the script is for")
      ->required()
      ->check(CLI::IsMember({"bash"}));
  command_line::describeUse(*command, {"source <(switchsaddle completion bash)"});
  command->callback([&app, shell] { std::cout << command_line::bashCompletion(app); });
}

}  // namespace

void addInformationCommands(CLI::App& app) {
  addVersion(app);
  addCompletion(app);
}

}  // namespace switchsaddle
