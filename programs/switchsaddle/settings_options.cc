#include "settings_options.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <sstream>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/log.h"

namespace switchsaddle {

namespace {

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw base::Error(base::ResultCode::SettingsUnreadable,
                      "cannot read the settings file " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

void overrideAddress(base::NodeAddress& address, const std::string& flag) {
  if (!flag.empty()) {
    address = base::NodeAddress::parse(flag);
  }
}

void overrideText(std::string& text, const std::string& flag) {
  if (!flag.empty()) {
    text = flag;
  }
}

void applyFlags(const SettingsOptions& options, configuration::Settings& settings) {
  overrideAddress(settings.peer_address, options.peer_address);
  overrideAddress(settings.http_address, options.http_address);
  overrideAddress(settings.platform_address, options.platform_address);
  overrideText(settings.zone, options.zone);
  overrideText(settings.region, options.region);
  overrideText(settings.data_folder, options.data_folder);
  if (!options.seeds.empty()) {
    settings.seeds.clear();
  }
  for (const std::string& seed : options.seeds) {
    settings.seeds.push_back(base::NodeAddress::parse(seed));
  }
}

std::string describeFaults(const std::vector<configuration::Fault>& faults) {
  std::string text = "expected valid settings, found " + std::to_string(faults.size()) +
                     " fault(s), one per line:";
  for (const configuration::Fault& fault : faults) {
    text += "\n  " + std::to_string(static_cast<int>(fault.code)) + " " + fault.path + ": " +
            fault.message;
  }
  return text;
}

void logSettingsThatNeedRestart(const configuration::Settings& in_force,
                                const configuration::Settings& settings) {
  std::string names;
  for (const std::string& name : configuration::settingsThatNeedRestart(in_force, settings)) {
    names += (names.empty() ? "" : ",") + name;
  }
  if (!names.empty()) {
    const auto code = static_cast<int>(base::ResultCode::SettingsNeedRestart);
    base::logEvent(base::Severity::Warning, "settings-need-restart",
                   {{"code", std::to_string(code)}, {"settings", names}});
  }
}

}  // namespace

std::shared_ptr<SettingsOptions> addSettingsOptions(CLI::App& command) {
  auto options = std::make_shared<SettingsOptions>();
  command.add_option("--settings", options->file,
                     "Path of the settings file, JSON with comments (default: none)");
  command.add_option(
      "--peer-address", options->peer_address,
      "Listening address for other nodes, IP:PORT (default: from the settings file)");
  command.add_option("--http-address", options->http_address,
                     "Listening address for callers and operators, IP:PORT (default: from the "
                     "settings file)");
  command.add_option("--zone", options->zone,
                     "Zone of this node (default: from the settings file)");
  command.add_option("--region", options->region,
                     "Region of this node (default: from the settings file)");
  command.add_option("--data-folder", options->data_folder,
                     "Folder of stored data and log dumps (default: from the settings file)");
  command.add_option(
      "--seed", options->seeds,
      "Peer address of a core, IP:PORT; repeat the option for several (default: from "
      "the settings file)");
  command.add_option("--platform-address", options->platform_address,
                     "Address of the platform that lists the workers, IP:PORT (default: from the "
                     "settings file)");
  return options;
}

configuration::Settings loadSettings(const SettingsOptions& options, const std::string& role) {
  std::vector<configuration::Fault> faults;
  configuration::Settings settings;
  if (!options.file.empty()) {
    const std::string text = readFile(options.file);
    if (configuration::isCutSettingsFile(text)) {
      throw base::Error(base::ResultCode::SettingsUnreadable,
                        "the settings file " + options.file + " is not whole", options.file);
    }
    settings = configuration::parseSettings(text, faults);
  }
  applyFlags(options, settings);
  if (faults.empty()) {
    faults = configuration::checkSettings(settings, role);
  }
  if (!faults.empty()) {
    throw base::Error(base::ResultCode::SettingsInvalid, describeFaults(faults), options.file);
  }
  return settings;
}

void reloadSeeds(const SettingsOptions& options, const std::string& role,
                 const configuration::Settings& in_force,
                 const std::function<void(std::vector<base::NodeAddress>)>& set_seeds) {
  try {
    const configuration::Settings settings = loadSettings(options, role);
    set_seeds(settings.seeds);
    base::logEvent(base::Severity::Notice, "settings-read-again",
                   {{"seeds", std::to_string(settings.seeds.size())}});
    logSettingsThatNeedRestart(in_force, settings);
  } catch (const base::Error& error) {
    base::logEvent(base::Severity::Error, "settings-refused", {{"reason", error.what()}});
  }
}

}  // namespace switchsaddle
