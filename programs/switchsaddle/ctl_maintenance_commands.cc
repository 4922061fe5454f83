#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

struct MaintenanceArguments {
  std::string worker;
  std::string change_id;
};

void addWorkerOptions(CLI::App* command, MaintenanceArguments& arguments) {
  command->add_option("worker", arguments.worker, "Id of the worker")->required();
  addChangeIdOption(command, arguments.change_id);
}

void addNext(CtlCommandBuilder& builder, CLI::App* group) {
  const auto change_id = std::make_shared<std::string>();
  CLI::App* command =
      builder.add(group,
                  {"next", "Put the least healthy worker that its pool can spare into maintenance",
                   "maintenance next"},
                  [change_id](OperatorClient& client) { return client.maintainNext(*change_id); });
  addChangeIdOption(command, *change_id);
}

void addStatus(CtlCommandBuilder& builder, CLI::App* group) {
  const auto watch = std::make_shared<bool>(false);
  CLI::App* command = builder.add(
      group,
      {"status", "List the workers in maintenance and their requests in flight",
       "maintenance status --watch"},
      [watch](OperatorClient& client) { return showResource(client, "/v1/maintenance", *watch); });
  addWatchOption(command, *watch);
}

void addStart(CtlCommandBuilder& builder, CLI::App* group) {
  const auto arguments = std::make_shared<MaintenanceArguments>();
  CLI::App* command =
      builder.add(group, {"start", "Put one worker into maintenance", "maintenance start worker-7"},
                  [arguments](OperatorClient& client) {
                    return client.startMaintenance(arguments->worker, arguments->change_id);
                  });
  addWorkerOptions(command, *arguments);
}

void addFinish(CtlCommandBuilder& builder, CLI::App* group) {
  const auto arguments = std::make_shared<MaintenanceArguments>();
  CLI::App* command =
      builder.add(group,
                  {"finish", "End the maintenance of a worker; it receives requests again",
                   "maintenance finish worker-7"},
                  [arguments](OperatorClient& client) {
                    return client.finishMaintenance(arguments->worker, arguments->change_id);
                  });
  addWorkerOptions(command, *arguments);
}

}  // namespace

void addMaintenanceCommands(CtlCommandBuilder& builder) {
  CLI::App* group = builder.addGroup(
      {"maintenance", "Start and end the maintenance of workers", "maintenance next"});
  addNext(builder, group);
  addStatus(builder, group);
  addStart(builder, group);
  addFinish(builder, group);
}

}  // namespace switchsaddle
