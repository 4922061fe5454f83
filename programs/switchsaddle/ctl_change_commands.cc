#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

struct ApplyArguments {
  std::string file;
  bool replace_all = false;
};

void addApply(CtlCommandBuilder& builder) {
  const auto arguments = std::make_shared<ApplyArguments>();
  const auto change = std::make_shared<ChangeArguments>();
  CLI::App* command = builder.add(
      {"apply", "Set the entries of a configuration file", "apply configuration.json --whole"},
      [arguments, change](OperatorClient& client) {
        return client.apply(readInputFile(arguments->file), arguments->replace_all,
                            change->toOptions());
      });
  command->add_option("file", arguments->file, "Path of the configuration file")->required();
  command->add_flag("--whole", arguments->replace_all,
                    "Also remove all entries that the file does not contain");
  addChangeOptions(command, change);
}

struct SetArguments {
  std::string path;
  std::string json;
};

void addSet(CtlCommandBuilder& builder) {
  const auto arguments = std::make_shared<SetArguments>();
  const auto change = std::make_shared<ChangeArguments>();
  CLI::App* command = builder.add(
      {"set", "Set one entry of the configuration", "set tuning/route-weight-alpha 1.5"},
      [arguments, change](OperatorClient& client) {
        return client.set(arguments->path, arguments->json, change->toOptions());
      });
  command->add_option("path", arguments->path, "Path of the entry, such as tuning/retry-share")
      ->required();
  command->add_option("json", arguments->json, "Value of the entry as JSON")->required();
  addChangeOptions(command, change);
}

void addRemove(CtlCommandBuilder& builder) {
  const auto path = std::make_shared<std::string>();
  const auto change = std::make_shared<ChangeArguments>();
  CLI::App* command = builder.add(
      {"remove", "Remove one entry of the configuration", "remove tuning/route-weight-alpha"},
      [path, change](OperatorClient& client) { return client.remove(*path, change->toOptions()); });
  command->add_option("path", *path, "Path of the entry, such as tuning/retry-share")->required();
  addChangeOptions(command, change);
}

}  // namespace

void addChangeCommands(CtlCommandBuilder& builder) {
  addApply(builder);
  addSet(builder);
  addRemove(builder);
}

}  // namespace switchsaddle
