#pragma once

#include <CLI/CLI.hpp>

namespace switchsaddle {

/**
 * Adds `switchsaddle ctl`, the operators' client of the control API, with all its subcommands.
 * @param exit_code set to an operator_client::ExitCode; must outlive parsing.
 */
void addCtlCommand(CLI::App& app, int& exit_code);

}  // namespace switchsaddle
