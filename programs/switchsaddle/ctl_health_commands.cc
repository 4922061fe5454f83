#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

void addHealthList(CtlCommandBuilder& builder, CLI::App* group) {
  const auto watch = std::make_shared<bool>(false);
  CLI::App* command =
      builder.add(group, {"list", "Rank the workers, the sickest first", "health list"},
                  [watch](OperatorClient& client) {
                    return showResource(client, "/v1/health/workers", *watch);
                  });
  addWatchOption(command, *watch);
}

void addHealthShow(CtlCommandBuilder& builder, CLI::App* group) {
  const auto worker = std::make_shared<std::string>();
  CLI::App* command =
      builder.add(group, {"show", "Show what was seen of one worker", "health show worker-7"},
                  [worker](OperatorClient& client) { return client.showWorkerHealth(*worker); });
  command->add_option("worker", *worker, "The worker's id")->required();
}

}  // namespace

void addHealthCommands(CtlCommandBuilder& builder) {
  CLI::App* group = builder.addGroup({"health", "Show which workers are sick", "health list"});
  addHealthList(builder, group);
  addHealthShow(builder, group);
}

}  // namespace switchsaddle
