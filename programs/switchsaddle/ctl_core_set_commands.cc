#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

struct ReplaceArguments {
  std::string old_member;
  std::string new_member;
};

void addReplace(CtlCommandBuilder& builder, CLI::App* group) {
  const auto arguments = std::make_shared<ReplaceArguments>();
  CLI::App* command =
      builder.add(group,
                  {"replace", "Replace a lost core with an empty one",
                   "core replace 10.0.0.5:7000 10.0.0.9:7000"},
                  [arguments](OperatorClient& client) {
                    return client.replaceCore(base::NodeAddress::parse(arguments->old_member),
                                              base::NodeAddress::parse(arguments->new_member));
                  });
  command->add_option("old", arguments->old_member, "Peer address of the lost core, IP:PORT")
      ->required();
  command->add_option("new", arguments->new_member, "Peer address of the empty core, IP:PORT")
      ->required();
}

}  // namespace

void addCoreSetCommands(CtlCommandBuilder& builder) {
  CLI::App* group = builder.addGroup(
      {"core", "Change the members of the core", "core replace 10.0.0.5:7000 10.0.0.9:7000"});
  addReplace(builder, group);
}

}  // namespace switchsaddle
