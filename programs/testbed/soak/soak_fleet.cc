#include "soak/soak_fleet.h"

#include <array>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/fleet/process_control.h"
#include "switchsaddle/testbed/soak/interruption.h"

namespace switchsaddle::testbed_commands {
namespace {

using testbed::FleetProcess;
using testbed::ProcessCondition;
using testbed::ProcessRole;

constexpr base::Duration ReadyLimit = std::chrono::seconds(60);
constexpr base::Duration KillLimit = std::chrono::seconds(10);
/** Shorter than operators wait for an answer, so that no order takes effect after they left. */
constexpr int AcknowledgementDeadlineMs = 700;
constexpr std::uint16_t WorkerPort = 8'000;
/** All cores are killed up to so long after a start, and come back up to so long after that. */
constexpr std::uint64_t LatestFirstStartKillMs = 600;
constexpr std::uint64_t LongestAbsenceMs = 1'000;
constexpr std::array Zones{"a", "b", "c"};
constexpr const char* OwnProgram = "/proc/self/exe";

std::unique_ptr<SoakDialect> createDialect(const SoakFleetOptions& options) {
  return options.platform_dialect ? createPlatformDialect(options.templates)
                                  : createProductDialect();
}

}  // namespace

std::string switchsaddleProgram(const std::string& program) {
  if (!program.empty()) {
    return std::filesystem::absolute(program).string();
  }
  const std::filesystem::path own_program = std::filesystem::read_symlink(OwnProgram);
  return (own_program.parent_path() / "switchsaddle").string();
}

SoakFleet::SoakFleet(SoakFleetOptions options, testbed::RunLedger& ledger)
    : options_(std::move(options)), ledger_(ledger), dialect_(createDialect(options_)) {
  std::filesystem::create_directories(options_.directory);
  const testbed::FleetLayout parsed = testbed::parseFleetLayout(layout());
  fleet_ = std::make_unique<Fleet>(
      testbed::planFleet(parsed, options_.directory, {options_.program, options_.program}));
  fleet_->setSettingsSource([this](const testbed::FleetState& state, const FleetProcess& process) {
    return dialect_->settings(state, process);
  });
  fleet_->setLaunchLimits(options_.launch_limits);
  fleet_->prepare();
  prepareDisks();
  startWorkers();
  try {
    startDaemons();
  } catch (...) {
    killDaemons();
    throw;
  }
}

SoakFleet::~SoakFleet() {
  killDaemons();
}

void SoakFleet::killDaemons() {
  try {
    for (const ProcessRole role : {ProcessRole::Front, ProcessRole::Core}) {
      fleet_->signalAll(fleet_->ofRole(role), SIGKILL, ProcessCondition::Exited, KillLimit);
    }
  } catch (const base::Error& error) {
    std::cerr << error.what() << "\n";
  }
}

std::string SoakFleet::layout() const {
  const boost::json::object text{
      {"network", options_.network},
      {"region", "soak"},
      {"operator_key", SoakOperatorKey},
      {"zones", boost::json::array(Zones.begin(), Zones.end())},
      {"cores", boost::json::object{{"count", options_.cores}}},
      {"tolerated_core_losses", (options_.cores - 1) / 2},
      {"fronts", boost::json::object{{"count", options_.fronts}}},
      {"workers", boost::json::array{}},
      {"limits", boost::json::parse(options_.limits_json)},
      {"times", boost::json::object{{"process_grace_s", 8},
                                    {"stop_notice_ms", 2'700},
                                    {"acknowledgement_deadline_ms", AcknowledgementDeadlineMs}}}};
  return boost::json::serialize(text);
}

void SoakFleet::prepareDisks() {
  if (!options_.faulty_disks) {
    return;
  }
  // The test bed's own program runs cores on such disks.
  const std::string program = std::filesystem::read_symlink(OwnProgram).string();
  for (FleetProcess* core : fleet_->ofRole(ProcessRole::Core)) {
    core->command.front() = program;
    setDiskOf(*core, {}, 1);
  }
}

void SoakFleet::startWorkers() {
  for (int number = 1; number <= options_.workers; ++number) {
    testbed::WireWorkerOptions worker;
    worker.name = "worker-" + std::to_string(number);
    worker.address = {options_.network + ".3." + std::to_string(number), WorkerPort};
    worker.faulty = options_.faulty_workers;
    worker.seed = options_.seed + static_cast<std::uint64_t>(number);
    dialect_->prepareWorker(worker);
    workers_.push_back({std::make_unique<testbed::WireWorker>(worker, ledger_),
                        Zones.at(static_cast<std::size_t>(number) % Zones.size())});
  }
  const FleetProcess* platform = fleet_->ofRole(ProcessRole::Platform).front();
  platform_ = std::make_unique<SoakPlatform>(platform->http_address, workers_, *dialect_);
}

void SoakFleet::startDaemons() {
  startAll(ProcessRole::Core);
  killCoresOfTheFirstStart();
  // Cores of the platform that only stand by for members are never ready to vote.
  if (!options_.platform_dialect) {
    waitReady(ProcessRole::Core);
  }
  fleet_->submit(dialect_->firstConfiguration(), ReadyLimit);
  startAll(ProcessRole::Front);
  waitReady(ProcessRole::Front);
}

void SoakFleet::startAll(ProcessRole role) {
  for (FleetProcess* process : fleet_->ofRole(role)) {
    fleet_->start(*process);
  }
}

void SoakFleet::waitReady(ProcessRole role) {
  fleet_->waitReady(fleet_->ofRole(role), ReadyLimit);
}

void SoakFleet::killCoresOfTheFirstStart() {
  base::RandomSource random(options_.seed);
  testbed::Interruption pause;
  for (int kill = 0; kill < options_.first_start_kills; ++kill) {
    pause.wait(std::chrono::milliseconds(random.below(LatestFirstStartKillMs)));
    fleet_->signalAll(fleet_->ofRole(ProcessRole::Core), SIGKILL, ProcessCondition::Exited,
                      KillLimit);
    pause.wait(std::chrono::milliseconds(random.below(LongestAbsenceMs)));
    startAll(ProcessRole::Core);
  }
}

std::vector<testbed::FrontTarget> SoakFleet::fronts() {
  const std::lock_guard lock(mutex_);
  std::vector<testbed::FrontTarget> targets;
  for (const FleetProcess* front : fleet_->ofRole(ProcessRole::Front)) {
    targets.push_back({front->name, front->http_address});
  }
  return targets;
}

std::vector<base::NodeAddress> SoakFleet::controlAddresses() {
  const std::lock_guard lock(mutex_);
  std::vector<base::NodeAddress> addresses;
  std::vector<ProcessRole> roles{ProcessRole::Core};
  if (dialect_->frontsServeOperators()) {
    roles.push_back(ProcessRole::Front);
  }
  for (const ProcessRole role : roles) {
    for (const FleetProcess* process : fleet_->ofRole(role)) {
      addresses.push_back(process->http_address);
    }
  }
  return addresses;
}

std::vector<std::string> SoakFleet::namesOf(ProcessRole role) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> names;
  for (const FleetProcess* process : fleet_->ofRole(role)) {
    names.push_back(process->name);
  }
  return names;
}

std::vector<FleetProcess> SoakFleet::daemons() {
  const std::lock_guard lock(mutex_);
  std::vector<FleetProcess> daemons;
  for (const ProcessRole role : {ProcessRole::Core, ProcessRole::Front}) {
    for (const FleetProcess* process : fleet_->ofRole(role)) {
      daemons.push_back(*process);
    }
  }
  return daemons;
}

FleetProcess SoakFleet::process(const std::string& name) {
  const std::lock_guard lock(mutex_);
  return *fleet_->state().find(name);
}

testbed::ProcessIdentity SoakFleet::identityOf(const std::string& name) {
  const std::lock_guard lock(mutex_);
  return Fleet::identityOf(*fleet_->state().find(name));
}

void SoakFleet::signal(const std::string& name, int signal_number) {
  testbed::sendSignal(identityOf(name), signal_number);
}

void SoakFleet::hangUp(const std::string& name) {
  const testbed::ProcessIdentity process = identityOf(name);
  if (options_.launch_limits.hangups_wait || testbed::protectsItselfFrom(process, SIGHUP)) {
    testbed::sendSignal(process, SIGHUP);
  }
}

bool SoakFleet::waitForEnd(const std::string& name, base::Duration limit) {
  return testbed::waitForCondition(identityOf(name), ProcessCondition::Exited, limit);
}

void SoakFleet::startAgain(const std::string& name) {
  const std::lock_guard lock(mutex_);
  fleet_->start(*fleet_->state().find(name));
}

void SoakFleet::startSuccessor(const std::string& name) {
  const std::lock_guard lock(mutex_);
  fleet_->startSuccessor(*fleet_->state().find(name));
}

void SoakFleet::wipe(const std::string& name) {
  const std::lock_guard lock(mutex_);
  fleet_->wipe(*fleet_->state().find(name));
}

std::string SoakFleet::replaceCore(const std::string& name) {
  const std::lock_guard lock(mutex_);
  FleetProcess& fresh = testbed::replaceCore(fleet_->state(), name);
  fleet_->writeSettings(fresh);
  setDiskOf(fresh, {}, 1);
  fleet_->start(fresh);
  return fresh.name;
}

void SoakFleet::rewriteSettings(const std::string& name) {
  const std::lock_guard lock(mutex_);
  fleet_->writeSettings(*fleet_->state().find(name));
}

void SoakFleet::setDisk(const std::string& name, const testbed::DiskFaults& faults, int slowdown) {
  const std::lock_guard lock(mutex_);
  setDiskOf(*fleet_->state().find(name), faults, slowdown);
}

void SoakFleet::setDiskOf(const FleetProcess& core, testbed::DiskFaults faults,
                          int slowdown) const {
  if (options_.faulty_disks) {
    faults.sync_time = std::chrono::milliseconds(options_.sync_ms * slowdown);
    testbed::writeDiskFaults(testbed::diskFaultsFile(core.data_folder), faults);
  }
}

std::string SoakFleet::coreAt(const base::NodeAddress& address) {
  const std::lock_guard lock(mutex_);
  for (const FleetProcess* core : fleet_->ofRole(ProcessRole::Core)) {
    if (core->http_address == address) {
      return core->name;
    }
  }
  return {};
}

}  // namespace switchsaddle::testbed_commands
