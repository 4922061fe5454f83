#include "ctl_command_groups.h"

namespace switchsaddle {

namespace {

using operator_client::OperatorClient;

struct ZoneArguments {
  std::string zone;
  std::string change_id;
};

void addZoneOptions(CLI::App* command, ZoneArguments& arguments) {
  command->add_option("zone", arguments.zone, "Name of the zone")->required();
  addChangeIdOption(command, arguments.change_id);
}

void addEvacuate(CtlCommandBuilder& builder) {
  const auto arguments = std::make_shared<ZoneArguments>();
  CLI::App* command =
      builder.add({"evacuate", "Send no new requests to the workers of a zone", "evacuate north"},
                  [arguments](OperatorClient& client) {
                    return client.evacuate(arguments->zone, arguments->change_id);
                  });
  addZoneOptions(command, *arguments);
}

void addRestore(CtlCommandBuilder& builder) {
  const auto arguments = std::make_shared<ZoneArguments>();
  CLI::App* command = builder.add({"restore", "End the evacuation of a zone", "restore north"},
                                  [arguments](OperatorClient& client) {
                                    return client.restore(arguments->zone, arguments->change_id);
                                  });
  addZoneOptions(command, *arguments);
}

}  // namespace

void addZoneCommands(CtlCommandBuilder& builder) {
  addEvacuate(builder);
  addRestore(builder);
}

}  // namespace switchsaddle
