#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

struct MaintenanceArguments {
  std::string worker;
  std::string change_id;
};

void addWorkerOptions(CLI::App* command, MaintenanceArguments& arguments) {
  command->add_option("worker", arguments.worker, "The worker's id")->required();
  addChangeIdOption(command, arguments.change_id);
}

void addNext(CtlCommandBuilder& builder, CLI::App* group) {
  const auto change_id = std::make_shared<std::string>();
  CLI::App* command = builder.add(
      group, {"next", "Take out the sickest worker that may be missed", "maintenance next"},
      [change_id](OperatorClient& client) { return client.maintainNext(*change_id); });
  addChangeIdOption(command, *change_id);
}

void addStatus(CtlCommandBuilder& builder, CLI::App* group) {
  const auto watch = std::make_shared<bool>(false);
  CLI::App* command = builder.add(
      group,
      {"status", "List the workers that are out, and what they still have",
       "maintenance status --watch"},
      [watch](OperatorClient& client) { return showResource(client, "/v1/maintenance", *watch); });
  addWatchOption(command, *watch);
}

void addStart(CtlCommandBuilder& builder, CLI::App* group) {
  const auto arguments = std::make_shared<MaintenanceArguments>();
  CLI::App* command =
      builder.add(group, {"start", "Take out one worker", "maintenance start worker-7"},
                  [arguments](OperatorClient& client) {
                    return client.startMaintenance(arguments->worker, arguments->change_id);
                  });
  addWorkerOptions(command, *arguments);
}

void addFinish(CtlCommandBuilder& builder, CLI::App* group) {
  const auto arguments = std::make_shared<MaintenanceArguments>();
  CLI::App* command = builder.add(
      group, {"finish", "Let a worker take requests again", "maintenance finish worker-7"},
      [arguments](OperatorClient& client) {
        return client.finishMaintenance(arguments->worker, arguments->change_id);
      });
  addWorkerOptions(command, *arguments);
}

}  // namespace

void addMaintenanceCommands(CtlCommandBuilder& builder) {
  CLI::App* group =
      builder.addGroup({"maintenance", "Take workers out for maintenance", "maintenance next"});
  addNext(builder, group);
  addStatus(builder, group);
  addStart(builder, group);
  addFinish(builder, group);
}

}  // namespace switchsaddle
