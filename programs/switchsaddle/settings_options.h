#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/configuration/settings.h"

namespace CLI {
class App;
}

namespace switchsaddle {

/** Settings file and command line flags of a daemon; flags that are not empty override the file. */
struct SettingsOptions {
  /** Path of the settings file; empty for none. */
  std::string file;
  std::string peer_address;
  std::string http_address;
  std::string zone;
  std::string region;
  std::string data_folder;
  std::vector<std::string> seeds;
  std::string platform_address;
};

/** Adds --settings and the overriding flags to a role's subcommand. @return their values. */
std::shared_ptr<SettingsOptions> addSettingsOptions(CLI::App& command);

/**
 * Reads the settings file, applies the flags and validates the result for the role.
 * @throws base::Error with SettingsInvalid and a message that lists all faults, one per line.
 */
configuration::Settings loadSettings(const SettingsOptions& options, const std::string& role);

/**
 * Reloads the settings and applies the seeds, the only setting that takes effect without a restart.
 * Logs the other settings that have changed; a faulty file is logged and ignored.
 */
void reloadSeeds(const SettingsOptions& options, const std::string& role,
                 const configuration::Settings& in_force,
                 const std::function<void(std::vector<base::NodeAddress>)>& set_seeds);

}  // namespace switchsaddle
