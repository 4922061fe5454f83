#pragma once

#include <CLI/CLI.hpp>

namespace switchsaddle {

/** Adds `version` and `completion`, which tell of the program itself. */
void addInformationCommands(CLI::App& app);

}  // namespace switchsaddle
