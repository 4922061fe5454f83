#include "evidence_files.h"

#include <algorithm>
#include <filesystem>
#include <map>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

/** Adds a record; renumbers its calls to follow those of the records added before. */
void addRecord(const std::string& path, testbed::Evidence& evidence) {
  std::uint64_t base_number = 0;
  for (const testbed::CallEvent& event : evidence.calls) {
    base_number = std::max(base_number, event.call);
  }
  for (testbed::CallEvent& event : testbed::readCallEvents(path)) {
    event.call += base_number;
    evidence.calls.push_back(std::move(event));
  }
}

std::map<std::string, std::string> readZones(const std::string& fleet_path) {
  std::map<std::string, std::string> zones;
  if (fleet_path.empty()) {
    return zones;
  }
  const auto state = testbed::parseFleetState(testbed::readTextFile(fleet_path));
  for (const testbed::FleetProcess& process : state.processes) {
    zones[process.name] = process.zone;
  }
  return zones;
}

}  // namespace

testbed::Evidence readEvidence(const EvidenceFiles& files) {
  testbed::Evidence evidence;
  for (const std::string& path : files.records) {
    addRecord(path, evidence);
  }
  std::map<std::string, std::string> zones = readZones(files.fleet);
  for (const auto& file : std::filesystem::directory_iterator(files.journals)) {
    if (file.path().extension() == ".jsonl") {
      const std::string worker = file.path().stem().string();
      evidence.journals.push_back(
          {worker, zones[worker], testbed::readWorkerEvents(file.path().string())});
    }
  }
  if (!files.orders.empty()) {
    evidence.orders = testbed::readOrderEvents(files.orders);
  }
  if (evidence.calls.empty() || evidence.journals.empty()) {
    throw base::Error(
        base::ResultCode::InvalidValue,
        "expected at least one call in the records and one .jsonl file in the journals folder");
  }
  return evidence;
}

}  // namespace switchsaddle::testbed_commands
