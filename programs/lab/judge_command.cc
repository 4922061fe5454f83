#include <CLI/CLI.hpp>

#include "commands.h"

namespace switchsaddle::lab {
void addJudgeCommand(CLI::App&) {}
}  // namespace switchsaddle::lab
