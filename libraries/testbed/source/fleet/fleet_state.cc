#include <algorithm>
#include <boost/json.hpp>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

boost::json::object toJson(const FleetProcess& process) {
  return {{"name", process.name},
          {"role", roleName(process.role)},
          {"zone", process.zone},
          {"pid", process.pid},
          {"start_ticks", process.start_ticks},
          {"peer_address", process.peer_address.empty() ? "" : process.peer_address.toString()},
          {"http_address", process.http_address.toString()},
          {"data_folder", process.data_folder},
          {"replacement", process.replacement ? 1 : 0},
          {"command", boost::json::value_from(process.command)}};
}

ProcessRole roleNamed(const std::string& name) {
  for (const ProcessRole role :
       {ProcessRole::Platform, ProcessRole::Worker, ProcessRole::Core, ProcessRole::Front}) {
    if (roleName(role) == name) {
      return role;
    }
  }
  throw base::Error(base::ResultCode::InvalidValue,
                    "expected platform, worker, core or front, got " + name, "role");
}

FleetProcess processFromJson(const boost::json::object& object) {
  FleetProcess process;
  process.name = textField(object, "name");
  process.role = roleNamed(textField(object, "role"));
  process.zone = textField(object, "zone");
  process.pid = integerField(object, "pid");
  process.start_ticks = static_cast<std::uint64_t>(integerField(object, "start_ticks"));
  const std::string peer = textField(object, "peer_address");
  if (!peer.empty()) {
    process.peer_address = base::NodeAddress::parse(peer);
  }
  process.http_address = base::NodeAddress::parse(textField(object, "http_address"));
  process.data_folder = textField(object, "data_folder");
  process.replacement = integerField(object, "replacement") != 0;
  process.command = textListField(object, "command");
  return process;
}

}  // namespace

std::string roleName(ProcessRole role) {
  switch (role) {
    case ProcessRole::Platform:
      return "platform";
    case ProcessRole::Worker:
      return "worker";
    case ProcessRole::Core:
      return "core";
    case ProcessRole::Front:
      return "front";
  }
  return "unknown";
}

FleetProcess* FleetState::find(const std::string& name) {
  const auto found =
      std::find_if(processes.begin(), processes.end(),
                   [&name](const FleetProcess& process) { return process.name == name; });
  return found == processes.end() ? nullptr : &*found;
}

std::vector<base::NodeAddress> FleetState::coreAddresses() const {
  std::vector<base::NodeAddress> addresses;
  for (const FleetProcess& process : processes) {
    if (process.role == ProcessRole::Core) {
      addresses.push_back(process.peer_address);
    }
  }
  return addresses;
}

std::string formatFleetState(const FleetState& state) {
  boost::json::array processes;
  for (const FleetProcess& process : state.processes) {
    processes.push_back(toJson(process));
  }
  return boost::json::serialize(
      boost::json::object{{"directory", state.directory},
                          {"region", state.region},
                          {"operator_key", state.operator_key},
                          {"times", boost::json::parse(state.times_json)},
                          {"limits", boost::json::parse(state.limits_json)},
                          {"tolerated_core_losses", state.tolerated_core_losses},
                          {"processes", std::move(processes)}});
}

FleetState parseFleetState(const std::string& text) {
  const boost::json::object object = parseObject(text);
  FleetState state;
  state.directory = textField(object, "directory");
  state.region = textField(object, "region");
  state.operator_key = textField(object, "operator_key");
  state.times_json = boost::json::serialize(objectField(object, "times"));
  state.limits_json = boost::json::serialize(objectField(object, "limits"));
  state.tolerated_core_losses = static_cast<int>(integerField(object, "tolerated_core_losses", 0));
  for (const boost::json::object& process : objectListField(object, "processes")) {
    state.processes.push_back(processFromJson(process));
  }
  return state;
}

}  // namespace switchsaddle::testbed
