#pragma once

#include <CLI/CLI.hpp>
#include <initializer_list>
#include <iosfwd>
#include <optional>
#include <string>

#include "switchsaddle/command_line/exit_code.h"

namespace switchsaddle::command_line {

/**
 * Parses a command line and runs the callbacks of its subcommands. Returns nothing where they ran,
 * Done where help was asked for and written to `out`, and Usage where the command line is wrong;
 * then the fault and where to find help are written to `errors`. Exceptions of callbacks pass.
 */
std::optional<ExitCode> parse(CLI::App& app, int argument_count, const char* const* arguments,
                              std::ostream& out, std::ostream& errors);

/** Appends examples, a line each, and the table of exit codes to the help of a subcommand. */
void describeUse(CLI::App& command, std::initializer_list<std::string> examples);

/**
 * The script which completes an application's command line in bash: subcommands, options, and file
 * names elsewhere. Made of the tree alone, so
 * that it can't lag behind it.
 */
std::string bashCompletion(const CLI::App& app);

}  // namespace switchsaddle::command_line
