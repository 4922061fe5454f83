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
  CLI::App* command =
      app.add_subcommand("check", "Validate a settings file or a configuration file offline");
  command->add_option("file", options->file, "Path of the file to check")->required();
  command
      ->add_option("--kind", options->kind, "Kind of the file (default: detect, from its content)")
      ->transform(CLI::CheckedTransformer(kinds).description("{configuration,settings,detect}"))
      ->type_name("KIND");
  command
      ->add_option("--role", options->role,
                   "Role that the settings are checked for, front or core (default: none, "
                   "check the form only)")
      ->check(CLI::IsMember({"front", "core"}));
  command->add_flag("--json", options->json, "Write the faults as JSON (default: text)");
  command_line::describeUse(*command,
                            {"switchsaddle check configuration.json",
                             "switchsaddle check front.json --kind settings --role front"});
  command->callback(
      [options, &exit_code] { exit_code = configuration::runCheck(*options, std::cout); });
}

}  // namespace switchsaddle
