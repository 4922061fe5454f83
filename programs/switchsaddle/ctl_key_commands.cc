#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

void addKeyAdd(CtlCommandBuilder& builder, CLI::App* group) {
  const auto key = std::make_shared<operator_client::KeyOptions>();
  CLI::App* command = builder.add(
      group,
      {"add", "Add a key; a generated secret is shown only once", "key add editors --id editors-2"},
      [key](OperatorClient& client) { return client.addKey(*key); });
  command->add_option("tenant", key->tenant, "Name of the key's tenant")->required();
  command->add_option("--id", key->id, "Id of the new key (default: derived from the change id)");
  command->add_option(
      "--sha256", key->sha256,
      "SHA-256 of the key's secret in hexadecimal (default: the fleet generates a secret)");
  addChangeIdOption(command, key->change_id);
}

struct RevokeArguments {
  std::string id;
  std::string change_id;
};

void addKeyRevoke(CtlCommandBuilder& builder, CLI::App* group) {
  const auto arguments = std::make_shared<RevokeArguments>();
  CLI::App* command =
      builder.add(group, {"revoke", "Revoke a key of a tenant", "key revoke editors-1"},
                  [arguments](OperatorClient& client) {
                    return client.revokeKey(arguments->id, arguments->change_id);
                  });
  command->add_option("id", arguments->id, "Id of the key")->required();
  addChangeIdOption(command, arguments->change_id);
}

}  // namespace

void addKeyCommands(CtlCommandBuilder& builder) {
  CLI::App* group = builder.addGroup({"key", "Add and revoke keys of tenants", "key add editors"});
  addKeyAdd(builder, group);
  addKeyRevoke(builder, group);
}

}  // namespace switchsaddle
