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

boost::json::object forwardingRoute(const char* kind, const char* prefix) {
  return {{"host", SoakFleet::forwardedHost()},
          {"path_prefix", prefix},
          {"kind", kind},
          {"targets", boost::json::array{boost::json::object{{"pool", SoakService}}}},
          {"time_limit_ms", 4'000},
          {"answer_goal_ms", 500},
          {"event_gap_goal_ms", 600},
          {"attempts", 2},
          {"open", true}};
}

}  // namespace

std::string switchsaddleProgram(const std::string& program) {
  namespace files = std::filesystem;
  if (!program.empty()) {
    return files::absolute(program).string();
  }
  const files::path own_program = files::read_symlink("/proc/self/exe");
  return (own_program.parent_path() / "switchsaddle").string();
}

SoakFleet::SoakFleet(SoakFleetOptions options, testbed::RunLedger& ledger)
    : options_(std::move(options)), ledger_(ledger) {
  std::filesystem::create_directories(options_.directory);
  const testbed::FleetLayout parsed = testbed::parseFleetLayout(layout());
  fleet_ = std::make_unique<Fleet>(
      testbed::planFleet(parsed, options_.directory, {options_.program, options_.program}));
  fleet_->prepare();
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
      {"operator_key", operator_key_},
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

std::string SoakFleet::configuration() const {
  const boost::json::object shape{{"services", boost::json::array{SoakService}},
                                  {"first_token_ms", 2'000},
                                  {"stream_deadline_ms", 30'000},
                                  {"one_shot_deadline_ms", 4'000},
                                  {"maximum_tokens", 64}};
  const boost::json::object document{
      {"shapes/soak", shape},
      {"share/root", boost::json::object{{"slots", 400}}},
      {"tenants/soak",
       boost::json::object{
           {"shape", "soak"}, {"stream_branch", "root"}, {"one_shot_branch", "root"}}},
      {"routes/soak", boost::json::object{{"service", SoakService}, {"pool", SoakService}}},
      {"keys/soak",
       boost::json::object{{"sha256", configuration::sha256Hex(tenant_key_)}, {"tenant", "soak"}}},
      {"forwarding/pools/soak", boost::json::object{}},
      {"forwarding/routes/once", forwardingRoute("at-most-once", "/once/")},
      {"forwarding/routes/stream", forwardingRoute("event-stream", "/stream/")}};
  return boost::json::serialize(document);
}

void SoakFleet::startWorkers() {
  for (int number = 1; number <= options_.workers; ++number) {
    testbed::WireWorkerOptions worker;
    worker.name = "worker-" + std::to_string(number);
    worker.address = {options_.network + ".3." + std::to_string(number), WorkerPort};
    worker.faulty = options_.faulty_workers;
    worker.seed = options_.seed + static_cast<std::uint64_t>(number);
    workers_.push_back({std::make_unique<testbed::WireWorker>(worker, ledger_),
                        Zones.at(static_cast<std::size_t>(number) % Zones.size())});
  }
  const FleetProcess* platform = fleet_->ofRole(ProcessRole::Platform).front();
  platform_ = std::make_unique<SoakPlatform>(platform->http_address, workers_);
}

void SoakFleet::startDaemons() {
  startAll(ProcessRole::Core);
  killCoresOfTheFirstStart();
  waitReady(ProcessRole::Core);
  fleet_->applyConfiguration(configuration(), ReadyLimit);
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
  for (const ProcessRole role : {ProcessRole::Core, ProcessRole::Front}) {
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

}  // namespace switchsaddle::testbed_commands
