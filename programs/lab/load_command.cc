#include <CLI/CLI.hpp>

#include "commands.h"

namespace switchsaddle::lab {
void addLoadCommand(CLI::App&) {}
}  // namespace switchsaddle::lab
