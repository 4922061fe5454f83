#include "fleet_up.h"

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

namespace files = std::filesystem;
using testbed::FleetProcess;
using testbed::ProcessCondition;
using testbed::ProcessRole;

constexpr base::Duration KillLimit = std::chrono::seconds(10);

void writeWorkersFile(const testbed::FleetLayout& layout, const std::string& directory) {
  std::vector<testbed::ListedWorker> listed;
  for (const testbed::LayoutWorker& worker : layout.workers) {
    listed.push_back(worker.listed);
  }
  std::ofstream(directory + "/workers.json") << testbed::formatWorkersFile(listed) << "\n";
}

void requireNoRunningFleet(const std::string& directory) {
  if (!std::filesystem::exists(directory + "/fleet.json")) {
    return;
  }
  Fleet earlier = Fleet::load(directory);
  for (const FleetProcess* process : earlier.named({"all"})) {
    if (testbed::conditionOf(Fleet::identityOf(*process)) != ProcessCondition::Exited) {
      throw base::Error(
          base::ResultCode::InvalidValue,
          process->name +
              " of an earlier fleet in this directory is running; run fleet down first");
    }
  }
}

void startAll(Fleet& fleet, ProcessRole role) {
  for (FleetProcess* process : fleet.ofRole(role)) {
    fleet.start(*process);
  }
}

/** Reads the layout file; replaces its network if the options name one. */
testbed::FleetLayout readLayout(const FleetStartOptions& options) {
  const std::string text = testbed::readTextFile(options.layout);
  if (options.network.empty()) {
    return testbed::parseFleetLayout(text);
  }
  boost::json::object layout = testbed::parseObject(text);
  layout["network"] = options.network;
  return testbed::parseFleetLayout(boost::json::serialize(layout));
}

/** Starts platform, workers and cores, waits until they are ready, applies the configuration, then
 * starts the fronts. */
void startInOrder(Fleet& fleet, const FleetStartOptions& options) {
  for (const ProcessRole role : {ProcessRole::Platform, ProcessRole::Worker, ProcessRole::Core}) {
    startAll(fleet, role);
  }
  for (const ProcessRole role : {ProcessRole::Platform, ProcessRole::Worker, ProcessRole::Core}) {
    fleet.waitReady(fleet.ofRole(role), options.ready_limit);
  }
  if (!options.configuration.empty()) {
    fleet.applyConfiguration(testbed::readTextFile(options.configuration), options.ready_limit);
  }
  startAll(fleet, ProcessRole::Front);
  fleet.waitReady(fleet.ofRole(ProcessRole::Front), options.ready_limit);
}

}  // namespace

Fleet bringUp(const FleetStartOptions& options) {
  const std::string testbed_program = files::read_symlink("/proc/self/exe").string();
  const std::string sibling_program =
      (files::path(testbed_program).parent_path() / "switchsaddle").string();
  const std::string daemon = options.switchsaddle.empty() ? sibling_program : options.switchsaddle;
  const std::string directory = files::absolute(options.directory).lexically_normal().string();
  files::create_directories(directory);
  const FleetLock lock(directory);
  requireNoRunningFleet(directory);
  const testbed::FleetLayout layout = readLayout(options);
  writeWorkersFile(layout, directory);
  Fleet fleet(
      testbed::planFleet(layout, directory, {testbed_program, files::absolute(daemon).string()}));
  fleet.prepare();
  fleet.save();
  try {
    startInOrder(fleet, options);
  } catch (const base::Error&) {
    // Processes of a partly started fleet would occupy the addresses of the next one.
    fleet.signalAll(fleet.named({"all"}), SIGKILL, ProcessCondition::Exited, KillLimit);
    throw;
  }
  return fleet;
}

}  // namespace switchsaddle::testbed_commands
