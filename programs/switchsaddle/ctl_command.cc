#include "ctl_command.h"

#include "ctl_command_groups.h"

namespace switchsaddle {

void addCtlCommand(CLI::App& app, int& exit_code) {
  CtlCommandBuilder builder(app, exit_code);
  addChangeCommands(builder);
  addReadCommands(builder);
  addZoneCommands(builder);
  addKeyCommands(builder);
  addHealthCommands(builder);
  addMaintenanceCommands(builder);
  addCoreSetCommands(builder);
}

}  // namespace switchsaddle
