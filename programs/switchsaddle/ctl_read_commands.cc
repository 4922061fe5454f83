#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

void addGet(CtlCommandBuilder& builder) {
  builder.add({"get", "Write the configuration in force in the format of a configuration file",
               "get > configuration.json"},
              [](OperatorClient& client) { return client.get(); });
}

void addHistory(CtlCommandBuilder& builder) {
  builder.add({"history", "List the newest changes of the configuration", "history --json"},
              [](OperatorClient& client) { return client.show("/v1/configuration/history"); });
}

void addInForce(CtlCommandBuilder& builder) {
  builder.add(
      {"in-force", "List the configuration version that each front has applied", "in-force"},
      [](OperatorClient& client) { return client.show("/v1/configuration/in-force"); });
}

void addStatus(CtlCommandBuilder& builder) {
  const auto watch = std::make_shared<bool>(false);
  CLI::App* command = builder.add(
      {"status", "Show nodes, sessions, leases, the members of the core, and disks",
       "status --watch"},
      [watch](OperatorClient& client) { return showResource(client, "/v1/status", *watch); });
  addWatchOption(command, *watch);
}

void addRouting(CtlCommandBuilder& builder) {
  const auto model = std::make_shared<std::string>();
  CLI::App* command = builder.add(
      {"routing", "Show the routing table of the node that responds", "routing --model summary-1"},
      [model](OperatorClient& client) { return client.showRouting(*model); });
  command->add_option("--model", *model, "Model whose table is shown (default: all models)");
}

struct CompareArguments {
  std::string first;
  std::string second;
};

void addCompare(CtlCommandBuilder& builder) {
  const auto arguments = std::make_shared<CompareArguments>();
  CLI::App* command =
      builder.add({"compare", "List the differences between the states of two nodes",
                   "compare 10.0.0.1:8000 10.0.0.2:8000"},
                  [arguments](OperatorClient& client) {
                    return client.compare(base::NodeAddress::parse(arguments->first),
                                          base::NodeAddress::parse(arguments->second));
                  });
  command->add_option("first", arguments->first, "HTTP address of the first node, IP:PORT")
      ->required();
  command->add_option("second", arguments->second, "HTTP address of the second node, IP:PORT")
      ->required();
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
