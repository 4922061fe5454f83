#pragma once

#include <CLI/CLI.hpp>

namespace switchsaddle {

/**
 * Adds `switchsaddle check FILE`, which validates a settings file or a configuration offline.
 * @param exit_code set to 0 if the file has no fault, else to 1; must outlive parsing.
 */
void addCheckCommand(CLI::App& app, int& exit_code);

}  // namespace switchsaddle
