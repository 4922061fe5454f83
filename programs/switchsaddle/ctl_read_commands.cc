#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

void addGet(CtlCommandBuilder& builder) {
  builder.add({"get", "Write the configuration in force as a file", "get > configuration.json"},
              [](OperatorClient& client) { return client.get(); });
}

void addHistory(CtlCommandBuilder& builder) {
  builder.add({"history", "List the changes made", "history --json"},
              [](OperatorClient& client) { return client.show("/v1/configuration/history"); });
}

void addInForce(CtlCommandBuilder& builder) {
  builder.add({"in-force", "List the version each front has applied", "in-force"},
              [](OperatorClient& client) { return client.show("/v1/configuration/in-force"); });
}

void addStatus(CtlCommandBuilder& builder) {
  const auto watch = std::make_shared<bool>(false);
  CLI::App* command = builder.add(
      {"status", "Show nodes, sessions, leases, core set and disks", "status --watch"},
      [watch](OperatorClient& client) { return showResource(client, "/v1/status", *watch); });
  addWatchOption(command, *watch);
}

void addRouting(CtlCommandBuilder& builder) {
  const auto model = std::make_shared<std::string>();
  CLI::App* command =
      builder.add({"routing", "Show a node's routing table", "routing --model summary-1"},
                  [model](OperatorClient& client) { return client.showRouting(*model); });
  command->add_option("--model", *model, "One model's table alone");
}

struct CompareArguments {
  std::string first;
  std::string second;
};

void addCompare(CtlCommandBuilder& builder) {
  const auto arguments = std::make_shared<CompareArguments>();
  CLI::App* command = builder.add(
      {"compare", "List what two nodes do not agree on", "compare 10.0.0.1:8000 10.0.0.2:8000"},
      [arguments](OperatorClient& client) {
        return client.compare(base::NodeAddress::parse(arguments->first),
                              base::NodeAddress::parse(arguments->second));
      });
  command->add_option("first", arguments->first, "IP:PORT")->required();
  command->add_option("second", arguments->second, "IP:PORT")->required();
}

}  // namespace

void addReadCommands(CtlCommandBuilder& builder) {
  addGet(builder);
  addHistory(builder);
  addInForce(builder);
  addStatus(builder);
  addRouting(builder);
  addCompare(builder);
}

}  // namespace switchsaddle
