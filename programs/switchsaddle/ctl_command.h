#pragma once

#include <CLI/CLI.hpp>

namespace switchsaddle {

/**
 * Adds `switchsaddle ctl`, the operator's client of the control API. The callbacks set `exit_code`
 * to an operator_client::ExitCode; it must outlive parsing.
 */
void addCtlCommand(CLI::App& app, int& exit_code);

}  // namespace switchsaddle
