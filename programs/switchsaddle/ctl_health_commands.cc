#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

void addHealthList(CtlCommandBuilder& builder, CLI::App* group) {
  const auto watch = std::make_shared<bool>(false);
  CLI::App* command =
      builder.add(group, {"list", "List the workers, the least healthy first", "health list"},
                  [watch](OperatorClient& client) {
                    return showResource(client, "/v1/health/workers", *watch);
                  });
  addWatchOption(command, *watch);
}

void addHealthShow(CtlCommandBuilder& builder, CLI::App* group) {
  const auto worker = std::make_shared<std::string>();
  CLI::App* command =
      builder.add(group, {"show", "Show the health data of one worker", "health show worker-7"},
                  [worker](OperatorClient& client) { return client.showWorkerHealth(*worker); });
  command->add_option("worker", *worker, "Id of the worker")->required();
}

}  // namespace

void addHealthCommands(CtlCommandBuilder& builder) {
  CLI::App* group = builder.addGroup({"health", "Show the health of workers", "health list"});
  addHealthList(builder, group);
  addHealthShow(builder, group);
}

}  // namespace switchsaddle
