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
  CLI::App* command =
      builder.add({"apply", "Apply a configuration file", "apply configuration.json --whole"},
                  [arguments, change](OperatorClient& client) {
                    return client.apply(readInputFile(arguments->file), arguments->replace_all,
                                        change->toOptions());
                  });
  command->add_option("file", arguments->file, "The file")->required();
  command->add_flag("--whole", arguments->replace_all, "Remove the entries that the file lacks");
  addChangeOptions(command, change);
}

struct SetArguments {
  std::string path;
  std::string json;
};

void addSet(CtlCommandBuilder& builder) {
  const auto arguments = std::make_shared<SetArguments>();
  const auto change = std::make_shared<ChangeArguments>();
  CLI::App* command =
      builder.add({"set", "Set one entry", "set tuning/route-weight-alpha 1.5"},
                  [arguments, change](OperatorClient& client) {
                    return client.set(arguments->path, arguments->json, change->toOptions());
                  });
  command->add_option("path", arguments->path, "Such as tuning/retry-share")->required();
  command->add_option("json", arguments->json, "The value as JSON")->required();
  addChangeOptions(command, change);
}

void addRemove(CtlCommandBuilder& builder) {
  const auto path = std::make_shared<std::string>();
  const auto change = std::make_shared<ChangeArguments>();
  CLI::App* command = builder.add(
      {"remove", "Remove one entry", "remove tuning/route-weight-alpha"},
      [path, change](OperatorClient& client) { return client.remove(*path, change->toOptions()); });
  command->add_option("path", *path, "The entry's path")->required();
  addChangeOptions(command, change);
}

}  // namespace

void addChangeCommands(CtlCommandBuilder& builder) {
  addApply(builder);
  addSet(builder);
  addRemove(builder);
}

}  // namespace switchsaddle
