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

void refuseRunningFleet(const std::string& directory) {
  if (!std::filesystem::exists(directory + "/fleet.json")) {
    return;
  }
  Fleet earlier = Fleet::load(directory);
  for (const FleetProcess* process : earlier.named({"all"})) {
    if (testbed::conditionOf(Fleet::identityOf(*process)) != ProcessCondition::Exited) {
      throw base::Error(base::ResultCode::InvalidValue,
                        process->name + " of an earlier fleet is running; use fleet down first");
    }
  }
}

void startAll(Fleet& fleet, ProcessRole role) {
  for (FleetProcess* process : fleet.ofRole(role)) {
    fleet.start(*process);
  }
}

/** The layout, with its addresses in the order's network. */
testbed::FleetLayout readLayout(const FleetUp& order) {
  const std::string text = testbed::readTextFile(order.layout);
  if (order.network.empty()) {
    return testbed::parseFleetLayout(text);
  }
  boost::json::object layout = testbed::parseObject(text);
  layout["network"] = order.network;
  return testbed::parseFleetLayout(boost::json::serialize(layout));
}

/** Starts the processes, each group once the one before it is ready. */
void startInOrder(Fleet& fleet, const FleetUp& order) {
  for (const ProcessRole role : {ProcessRole::Platform, ProcessRole::Worker, ProcessRole::Core}) {
    startAll(fleet, role);
  }
  for (const ProcessRole role : {ProcessRole::Platform, ProcessRole::Worker, ProcessRole::Core}) {
    fleet.waitReady(fleet.ofRole(role), order.ready_limit);
  }
  if (!order.configuration.empty()) {
    fleet.applyConfiguration(testbed::readTextFile(order.configuration), order.ready_limit);
  }
  startAll(fleet, ProcessRole::Front);
  fleet.waitReady(fleet.ofRole(ProcessRole::Front), order.ready_limit);
}

}  // namespace

Fleet bringUp(const FleetUp& order) {
  const std::string testbed_program = files::read_symlink("/proc/self/exe").string();
  const std::string beside = (files::path(testbed_program).parent_path() / "switchsaddle").string();
  const std::string daemon = order.switchsaddle.empty() ? beside : order.switchsaddle;
  const std::string directory = files::absolute(order.directory).lexically_normal().string();
  files::create_directories(directory);
  const FleetLock lock(directory);
  refuseRunningFleet(directory);
  const testbed::FleetLayout layout = readLayout(order);
  writeWorkersFile(layout, directory);
  Fleet fleet(
      testbed::planFleet(layout, directory, {testbed_program, files::absolute(daemon).string()}));
  fleet.prepare();
  fleet.save();
  try {
    startInOrder(fleet, order);
  } catch (const base::Error&) {
    // Half a fleet would hold its addresses against the next one.
    fleet.signalAll(fleet.named({"all"}), SIGKILL, ProcessCondition::Exited, KillLimit);
    throw;
  }
  return fleet;
}

}  // namespace switchsaddle::testbed_commands
