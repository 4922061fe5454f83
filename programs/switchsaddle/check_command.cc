#include "check_command.h"

#include <iostream>
#include <map>
#include <memory>

#include "switchsaddle/command_line/command_line.h"
#include "switchsaddle/configuration/check_report.h"

namespace switchsaddle {

using configuration::CheckKind;
using configuration::CheckOptions;

void addCheckCommand(CLI::App& app, int& exit_code) {
  const std::map<std::string, CheckKind> kinds{{"detect", CheckKind::Detect},
                                               {"configuration", CheckKind::Configuration},
                                               {"settings", CheckKind::Settings}};
  auto options = std::make_shared<CheckOptions>();
  CLI::App* command = app.add_subcommand("check", "Check a settings file or a configuration");
  command->add_option("file", options->file, "The file")->required();
  command->add_option("--kind", options->kind, "What the file is; told by its content if left out")
      ->transform(CLI::CheckedTransformer(kinds).description("{configuration,settings,detect}"))
      ->type_name("KIND");
  command->add_option("--role", options->role, "Check settings for this role: front or core")
      ->check(CLI::IsMember({"front", "core"}));
  command->add_flag("--json", options->json, "Write the faults as JSON");
  command_line::describeUse(*command,
                            {"switchsaddle check configuration.json",
                             "switchsaddle check front.json --kind settings --role front"});
  command->callback(
      [options, &exit_code] { exit_code = configuration::runCheck(*options, std::cout); });
}

}  // namespace switchsaddle
