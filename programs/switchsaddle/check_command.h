#pragma once

#include <CLI/CLI.hpp>

namespace switchsaddle {

/**
 * Adds `switchsaddle check FILE`, which checks a settings file or a configuration offline. The
 * callback sets `exit_code` to 0 where the file has no fault, else to 1; it must outlive parsing.
 */
void addCheckCommand(CLI::App& app, int& exit_code);

}  // namespace switchsaddle
