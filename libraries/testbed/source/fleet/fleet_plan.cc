#include <algorithm>
#include <boost/json.hpp>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"

namespace switchsaddle::testbed {
namespace {

constexpr std::uint16_t PeerPort = 7'000;
constexpr std::uint16_t HttpPort = 8'000;
constexpr std::uint16_t ReadinessPort = 8'001;
constexpr std::size_t SeedCount = 3;

FleetProcess planPlatform(const FleetLayout& layout, const std::string& directory,
                          const FleetPrograms& programs) {
  FleetProcess process;
  process.name = "platform";
  process.role = ProcessRole::Platform;
  process.http_address = base::NodeAddress{layout.network + ".4.1", HttpPort};
  process.command = {programs.testbed,
                     "platform",
                     "--address",
                     process.http_address.toString(),
                     "--workers",
                     directory + "/workers.json",
                     "--lag-ms",
                     std::to_string(layout.platform_lag_ms),
                     "--crashed-listed-ms",
                     std::to_string(layout.crashed_listed_ms)};
  return process;
}

FleetProcess planWorker(const LayoutWorker& worker, const std::string& directory,
                        const FleetPrograms& programs) {
  const ListedWorker& listed = worker.listed;
  FleetProcess process;
  process.name = listed.id;
  process.role = ProcessRole::Worker;
  process.zone = listed.zone;
  process.http_address = listed.address;
  process.command = {programs.testbed,
                     "worker",
                     "--address",
                     listed.address.toString(),
                     "--id",
                     listed.id,
                     "--service",
                     listed.service,
                     "--stage",
                     listed.stage,
                     "--slots",
                     std::to_string(listed.slots),
                     "--weights-version",
                     listed.weights_version,
                     "--journal",
                     directory + "/journals/" + listed.id + ".jsonl"};
  if (!listed.models.empty()) {
    std::string models;
    for (const std::string& model : listed.models) {
      models += (models.empty() ? "" : ",") + model;
    }
    process.command.insert(process.command.end(), {"--models", models});
  }
  process.command.insert(process.command.end(), worker.arguments.begin(), worker.arguments.end());
  return process;
}

FleetProcess planNode(const LayoutNode& node, ProcessRole role, const std::string& ip,
                      const std::string& directory, const std::string& program) {
  FleetProcess process;
  process.name = node.name;
  process.role = role;
  process.zone = node.zone;
  process.peer_address = base::NodeAddress{ip, PeerPort};
  process.http_address = base::NodeAddress{ip, HttpPort};
  process.data_folder = directory + "/data/" + node.name;
  process.command = {program, roleName(role), "--settings",
                     directory + "/settings/" + node.name + ".json"};
  return process;
}

boost::json::array addressList(const std::vector<base::NodeAddress>& addresses) {
  boost::json::array list;
  for (const base::NodeAddress& address : addresses) {
    list.emplace_back(address.toString());
  }
  return list;
}

/** An IP address in the network of `old_ip` that no process of the fleet uses. */
std::string unusedIp(const FleetState& state, const std::string& old_ip) {
  const std::string network = old_ip.substr(0, old_ip.rfind('.') + 1);
  int largest = 0;
  for (const FleetProcess& process : state.processes) {
    const std::string& ip = process.http_address.ip;
    if (ip.rfind(network, 0) == 0) {
      largest = std::max(largest, std::stoi(ip.substr(network.size())));
    }
  }
  return network + std::to_string(largest + 1);
}

std::string unusedName(FleetState& state, const std::string& old_name) {
  int number = 2;
  std::string name = old_name + "-r" + std::to_string(number);
  while (state.find(name) != nullptr) {
    ++number;
    name = old_name + "-r" + std::to_string(number);
  }
  return name;
}

}  // namespace

FleetState planFleet(const FleetLayout& layout, const std::string& directory,
                     const FleetPrograms& programs) {
  FleetState state;
  state.directory = directory;
  state.region = layout.region;
  state.operator_key = layout.operator_key;
  state.times_json = layout.times_json;
  state.limits_json = layout.limits_json;
  state.tolerated_core_losses = layout.tolerated_core_losses;
  state.processes.push_back(planPlatform(layout, directory, programs));
  for (const LayoutWorker& worker : layout.workers) {
    state.processes.push_back(planWorker(worker, directory, programs));
  }
  for (std::size_t index = 0; index < layout.cores.size(); ++index) {
    const std::string ip = layout.network + ".1." + std::to_string(index + 1);
    state.processes.push_back(
        planNode(layout.cores[index], ProcessRole::Core, ip, directory, programs.switchsaddle));
  }
  for (std::size_t index = 0; index < layout.fronts.size(); ++index) {
    const std::string ip = layout.network + ".2." + std::to_string(index + 1);
    state.processes.push_back(
        planNode(layout.fronts[index], ProcessRole::Front, ip, directory, programs.switchsaddle));
  }
  return state;
}

base::NodeAddress readinessAddress(const FleetProcess& front) {
  return {front.http_address.ip, ReadinessPort};
}

std::string settingsText(const FleetState& state, const FleetProcess& process,
                         const std::string& operator_hash) {
  const std::vector<base::NodeAddress> cores = state.coreAddresses();
  std::vector<base::NodeAddress> seeds = cores;
  if (process.replacement) {
    std::erase(seeds, process.peer_address);
  }
  seeds.resize(std::min(SeedCount, seeds.size()));
  boost::json::object settings{{"peer_address", process.peer_address.toString()},
                               {"http_address", process.http_address.toString()},
                               {"zone", process.zone},
                               {"region", state.region},
                               {"data_folder", process.data_folder},
                               {"seeds", addressList(seeds)},
                               {"operator_hashes", boost::json::array{operator_hash}},
                               {"times", boost::json::parse(state.times_json)},
                               {"limits", boost::json::parse(state.limits_json)}};
  for (const FleetProcess& other : state.processes) {
    if (other.role == ProcessRole::Platform) {
      settings["platform_address"] = other.http_address.toString();
    }
  }
  if (process.role == ProcessRole::Front) {
    settings["readiness_address"] = readinessAddress(process).toString();
  }
  if (process.role == ProcessRole::Core) {
    settings["tolerated_core_losses"] = state.tolerated_core_losses;
  }
  const bool was_started = process.pid != 0;
  if (process.role == ProcessRole::Core && !process.replacement && !was_started) {
    settings["initial_cores"] = addressList(cores);
  }
  return boost::json::serialize(settings);
}

FleetProcess& replaceCore(FleetState& state, const std::string& name) {
  FleetProcess* old = state.find(name);
  if (old == nullptr || old->role != ProcessRole::Core) {
    throw base::Error(base::ResultCode::InvalidValue, "expected the name of a core, got " + name);
  }
  const std::string ip = unusedIp(state, old->http_address.ip);
  const LayoutNode node{unusedName(state, name), old->zone};
  const std::string program = old->command.at(0);
  *old = planNode(node, ProcessRole::Core, ip, state.directory, program);
  old->replacement = true;
  return *old;
}

}  // namespace switchsaddle::testbed
