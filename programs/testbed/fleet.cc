#include "fleet.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "http_probe.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

namespace files = std::filesystem;
using testbed::FleetProcess;
using testbed::ProcessCondition;
using testbed::ProcessRole;

constexpr auto ProbeInterval = std::chrono::milliseconds(50);
constexpr auto ChangeTimeout = std::chrono::seconds(5);
constexpr const char* InitialChangeId = "initial";

[[noreturn]] void fail(const std::string& message) {
  throw base::Error(base::ResultCode::InternalError, message);
}

void writeFile(const std::string& path, const std::string& text) {
  const std::string temporary_path = path + ".new";
  {
    std::ofstream file(temporary_path, std::ios::binary | std::ios::trunc);
    file << text << "\n";
    if (!file.flush()) {
      throw base::Error(base::ResultCode::StorageFailed, "cannot write " + temporary_path);
    }
  }
  files::rename(temporary_path, path);
}

const char* readinessPath(ProcessRole role) {
  const bool fake = role == ProcessRole::Worker || role == ProcessRole::Platform;
  return fake ? "/testbed/state" : "/readyz";
}

bool inGroup(const FleetProcess& process, const std::string& group) {
  return group == "all" || group == testbed::roleName(process.role) + "s";
}

std::string conditionName(ProcessCondition condition) {
  switch (condition) {
    case ProcessCondition::Exited:
      return "gone";
    case ProcessCondition::Running:
      return "running";
    case ProcessCondition::Stopped:
      return "frozen";
  }
  return "unknown";
}

}  // namespace

FleetLock::FleetLock(const std::string& directory)
    : file_(::open((directory + "/fleet.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644)) {
  if (file_ < 0 || ::flock(file_, LOCK_EX) != 0) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot lock fleet.lock in " + directory);
  }
}

FleetLock::~FleetLock() {
  ::close(file_);
}

testbed::ProcessIdentity Fleet::identityOf(const FleetProcess& process) {
  return {process.pid, process.start_ticks};
}

Fleet Fleet::load(const std::string& directory) {
  return Fleet(testbed::parseFleetState(testbed::readTextFile(directory + "/fleet.json")));
}

void Fleet::save() const {
  writeFile(state_.directory + "/fleet.json", testbed::formatFleetState(state_));
}

std::vector<FleetProcess*> Fleet::named(const std::vector<std::string>& names) {
  std::vector<FleetProcess*> found;
  for (const std::string& name : names) {
    const std::size_t before = found.size();
    for (FleetProcess& process : state_.processes) {
      if (process.name == name || inGroup(process, name)) {
        found.push_back(&process);
      }
    }
    if (found.size() == before) {
      fail("unknown process or group " + name +
           "; expected a name from fleet.json, or cores, fronts, workers or all");
    }
  }
  return found;
}

std::vector<FleetProcess*> Fleet::ofRole(ProcessRole role) {
  std::vector<FleetProcess*> found;
  for (FleetProcess& process : state_.processes) {
    if (process.role == role) {
      found.push_back(&process);
    }
  }
  return found;
}

void Fleet::prepare() {
  for (const char* folder : {"/data", "/settings", "/journals"}) {
    files::create_directories(state_.directory + folder);
  }
  for (const FleetProcess& process : state_.processes) {
    writeSettings(process);
  }
}

void Fleet::writeSettings(const FleetProcess& process) const {
  if (process.data_folder.empty()) {
    return;
  }
  files::create_directories(process.data_folder);
  const std::string text =
      settings_source_
          ? settings_source_(state_, process)
          : testbed::settingsText(state_, process, configuration::sha256Hex(state_.operator_key));
  writeFile(state_.directory + "/settings/" + process.name + ".json", text);
}

void Fleet::start(FleetProcess& process) {
  if (testbed::conditionOf(identityOf(process)) != ProcessCondition::Exited) {
    fail(process.name + " is already running");
  }
  startSuccessor(process);
}

void Fleet::startSuccessor(FleetProcess& process) {
  if (process.pid != 0) {
    writeSettings(process);
  }
  const auto identity = testbed::launchDetached(
      process.command, state_.directory + "/" + process.name + ".log", launch_limits_);
  process.pid = identity.pid;
  process.start_ticks = identity.start_ticks;
  save();
}

void Fleet::signalAll(const std::vector<FleetProcess*>& processes, int signal_number,
                      ProcessCondition condition, base::Duration limit) {
  for (const FleetProcess* process : processes) {
    testbed::sendSignal(identityOf(*process), signal_number);
  }
  for (const FleetProcess* process : processes) {
    if (!testbed::waitForCondition(identityOf(*process), condition, limit)) {
      fail(process->name + " was not " + conditionName(condition) + " within the time limit");
    }
  }
}

void Fleet::wipe(const FleetProcess& process) const {
  if (testbed::conditionOf(identityOf(process)) != ProcessCondition::Exited) {
    fail(process.name + " is running; its data folder can be wiped only after it has exited");
  }
  if (process.data_folder.rfind(state_.directory + "/data/", 0) != 0) {
    fail(process.name + " has no data folder below data/ in the fleet's directory");
  }
  files::remove_all(process.data_folder);
  files::create_directories(process.data_folder);
}

void Fleet::waitReady(const std::vector<FleetProcess*>& processes, base::Duration limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  for (const FleetProcess* process : processes) {
    while (!answersOk(process->http_address, readinessPath(process->role))) {
      if (testbed::conditionOf(identityOf(*process)) == ProcessCondition::Exited) {
        fail(process->name + " exited before it was ready; see " + process->name + ".log");
      }
      if (std::chrono::steady_clock::now() >= deadline) {
        fail(process->name + " was not ready within the time limit");
      }
      std::this_thread::sleep_for(ProbeInterval);
    }
  }
}

void Fleet::applyConfiguration(const std::string& document, base::Duration limit) {
  // The API accepts JSON without comments; configuration files may contain comments.
  const std::string plain = boost::json::serialize(testbed::parseObject(document));
  http::Request request;
  request.method = "POST";
  request.target = "/v1/configuration/changes";
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + state_.operator_key}};
  request.body = std::string(R"({"change_id":")") + InitialChangeId +
                 R"(","base_version":0,"document":)" + plain + "}";
  submit(request, limit);
}

void Fleet::submit(const http::Request& change, base::Duration limit) {
  const auto cores = ofRole(ProcessRole::Core);
  const auto deadline = std::chrono::steady_clock::now() + limit;
  std::string last_answer = "no answer";
  for (std::size_t turn = 0; std::chrono::steady_clock::now() < deadline; ++turn) {
    const auto response =
        fetchOnce(cores.at(turn % cores.size())->http_address, change, ChangeTimeout);
    if (response.has_value()) {
      last_answer = std::to_string(response->status) + " " + response->body;
      if (response->status == 200 || response->status == 202) {
        return;
      }
      if (response->status < 500) {
        break;
      }
    }
    std::this_thread::sleep_for(ProbeInterval);
  }
  fail("the configuration was not applied; last answer: " + last_answer);
}

std::string Fleet::status() const {
  std::ostringstream lines;
  for (const FleetProcess& process : state_.processes) {
    const ProcessCondition condition = testbed::conditionOf(identityOf(process));
    const bool ready = condition == ProcessCondition::Running &&
                       answersOk(process.http_address, readinessPath(process.role));
    lines << process.name << "\t" << testbed::roleName(process.role) << "\t" << process.zone << "\t"
          << process.http_address.toString() << "\t" << process.pid << "\t"
          << conditionName(condition) << (ready ? "\tready" : "\tnot ready") << "\n";
  }
  return lines.str();
}

}  // namespace switchsaddle::testbed_commands
