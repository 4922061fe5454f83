#pragma once

#include <CLI/CLI.hpp>
#include <initializer_list>
#include <iosfwd>
#include <optional>
#include <string>

#include "switchsaddle/command_line/exit_code.h"

namespace switchsaddle::command_line {

/**
 * Parses a command line and runs the callbacks of its subcommands. Exceptions of callbacks
 * propagate.
 * @param out receives requested help.
 * @param errors receives the error of an invalid command line.
 * @return std::nullopt if the callbacks ran; Done if help was requested; Usage if the command line
 * is invalid.
 */
std::optional<ExitCode> parse(CLI::App& app, int argument_count, const char* const* arguments,
                              std::ostream& out, std::ostream& errors);

/** Appends examples, one per line, and the table of exit codes to the help of a subcommand. */
void describeUse(CLI::App& command, std::initializer_list<std::string> examples);

/**
 * @return a bash script that completes the subcommands and options of the application's command
 *     tree, and file names in other positions.
 */
std::string bashCompletion(const CLI::App& app);

}  // namespace switchsaddle::command_line
