#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace switchsaddle {

/** Adds the commands of a program, each of which sets the exit code. */
using AddCommands = std::function<void(CLI::App& app, int& exit_code)>;

/**
 * Parses the command line and runs the command that it names, with the log prepared. An error that
 * ends the command is reported with its result code.
 * @return the exit code of the process.
 */
int runCommand(int argument_count, char** arguments, const AddCommands& add_commands);

}  // namespace switchsaddle
