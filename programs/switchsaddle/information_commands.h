#pragma once

#include <CLI/CLI.hpp>

namespace switchsaddle {

/** Adds `version` and `completion`, which print information about the program. */
void addInformationCommands(CLI::App& app);

}  // namespace switchsaddle
