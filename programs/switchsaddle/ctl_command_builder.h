#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/operator_client/operator_client.h"

namespace switchsaddle {

/** Options of all subcommands of `switchsaddle ctl`. */
struct CtlOptions {
  /** Control addresses, "IP:PORT". */
  std::vector<std::string> addresses;
  std::string key;
  std::string key_file;
  bool json = false;
};

/** Name and help of a subcommand. */
struct CtlSubcommand {
  std::string name;
  std::string help;
  /** Example of its use, after the program's name and common options. */
  std::string example;
};

/** Options of a subcommand that changes the configuration. */
struct ChangeArguments {
  std::string change_id;
  std::uint64_t base_version = 0;
  bool has_base_version = false;
  bool dry_run = false;

  operator_client::ChangeOptions toOptions() const;
};

/**
 * Builds `switchsaddle ctl` and its subcommands. The callback of a subcommand runs its action with
 * a client of the fleet and sets the exit code, which must outlive parsing.
 */
class CtlCommandBuilder {
 public:
  using Action = std::function<operator_client::ExitCode(operator_client::OperatorClient&)>;

  CtlCommandBuilder(CLI::App& app, int& exit_code);

  /** Adds a group of subcommands. */
  CLI::App* addGroup(const CtlSubcommand& group);
  /** Adds a subcommand of `switchsaddle ctl`. */
  CLI::App* add(const CtlSubcommand& subcommand, Action action);
  /** Adds a subcommand of a group. */
  CLI::App* add(CLI::App* group, const CtlSubcommand& subcommand, Action action);

 private:
  std::shared_ptr<CtlOptions> options_;
  int& exit_code_;
  CLI::App* command_ = nullptr;
};

/** Adds the option --change-id. @param change_id must outlive parsing. */
void addChangeIdOption(CLI::App* subcommand, std::string& change_id);

/** Adds the options of a change, which set `arguments` when the command line is parsed. */
void addChangeOptions(CLI::App* subcommand, const std::shared_ptr<ChangeArguments>& arguments);

/** Adds the option --watch. @param watch must outlive parsing. */
void addWatchOption(CLI::App* subcommand, bool& watch);

/** Shows a resource of the control API once or, with `watch`, each second until interrupted. */
operator_client::ExitCode showResource(operator_client::OperatorClient& client,
                                       const std::string& target, bool watch);

/**
 * @return the content of a file.
 * @throws base::Error with UnknownPath if it cannot be read.
 */
std::string readInputFile(const std::string& path);

}  // namespace switchsaddle
