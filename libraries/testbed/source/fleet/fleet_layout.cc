#include "switchsaddle/testbed/fleet/fleet_layout.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <string_view>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

constexpr std::int64_t LargestCount = 250;
constexpr std::array LayoutKeys{std::string_view("network"),
                                std::string_view("region"),
                                std::string_view("operator_key"),
                                std::string_view("zones"),
                                std::string_view("cores"),
                                std::string_view("fronts"),
                                std::string_view("platform"),
                                std::string_view("times"),
                                std::string_view("limits"),
                                std::string_view("workers"),
                                std::string_view("tolerated_core_losses")};

void rejectUnknownKeys(const boost::json::object& object) {
  for (const auto& field : object) {
    const std::string_view key(field.key().data(), field.key().size());
    if (std::find(LayoutKeys.begin(), LayoutKeys.end(), key) == LayoutKeys.end()) {
      throw base::Error(base::ResultCode::UnknownField, "unknown key in the layout",
                        std::string(key));
    }
  }
}

std::int64_t countField(const boost::json::object& object, const std::string& path) {
  const std::int64_t count = integerField(object, "count", 1);
  if (count < 0 || count > LargestCount) {
    throw base::Error(base::ResultCode::InvalidValue, "expected a count from 0 to 250",
                      path + ".count");
  }
  return count;
}

const std::string& zoneInTurn(const std::vector<std::string>& zones, std::size_t index) {
  return zones[index % zones.size()];
}

std::vector<LayoutNode> parseNodes(const boost::json::object& layout, const std::string& key,
                                   const std::string& prefix,
                                   const std::vector<std::string>& zones) {
  std::vector<LayoutNode> nodes;
  const boost::json::value* value = layout.if_contains(key);
  if (value != nullptr && value->is_array()) {
    for (const boost::json::object& node : objectListField(layout, key)) {
      nodes.push_back(LayoutNode{textField(node, "name"), textField(node, "zone")});
    }
    return nodes;
  }
  if (value == nullptr) {
    return nodes;
  }
  const auto count = static_cast<std::size_t>(countField(objectField(layout, key), key));
  for (std::size_t index = 0; index < count; ++index) {
    nodes.push_back(LayoutNode{prefix + std::to_string(index + 1), zoneInTurn(zones, index)});
  }
  return nodes;
}

void parseWorkerGroup(const boost::json::object& group, const std::vector<std::string>& zones,
                      FleetLayout& layout) {
  const std::string prefix = textField(group, "prefix", "worker-");
  const std::int64_t count = countField(group, "workers");
  for (std::int64_t index = 0; index < count; ++index) {
    const std::size_t number = layout.workers.size() + 1;
    LayoutWorker worker;
    worker.listed.id = prefix + std::to_string(index + 1);
    worker.listed.address =
        base::NodeAddress{layout.network + ".3." + std::to_string(number), 8'000};
    worker.listed.zone = textField(group, "zone", zoneInTurn(zones, number - 1));
    worker.listed.models = textListField(group, "models");
    worker.listed.service = textField(group, "service");
    worker.listed.stage = textField(group, "stage", worker.listed.stage);
    worker.listed.slots =
        static_cast<std::uint32_t>(integerField(group, "slots", worker.listed.slots));
    worker.arguments = textListField(group, "arguments");
    layout.workers.push_back(std::move(worker));
  }
}

void rejectDuplicateNames(const FleetLayout& layout) {
  std::vector<std::string> names;
  for (const LayoutNode& node : layout.cores) {
    names.push_back(node.name);
  }
  for (const LayoutNode& node : layout.fronts) {
    names.push_back(node.name);
  }
  for (const LayoutWorker& worker : layout.workers) {
    names.push_back(worker.listed.id);
  }
  std::sort(names.begin(), names.end());
  const auto duplicate = std::adjacent_find(names.begin(), names.end());
  if (duplicate != names.end()) {
    throw base::Error(base::ResultCode::InvalidValue, "duplicate process name " + *duplicate,
                      *duplicate);
  }
}

}  // namespace

FleetLayout parseFleetLayout(const std::string& text) {
  const boost::json::object object = parseObject(text);
  rejectUnknownKeys(object);
  FleetLayout layout;
  layout.network = textField(object, "network", "127.40");
  if (layout.network.rfind("127.", 0) != 0) {
    throw base::Error(base::ResultCode::InvalidValue,
                      "expected a loopback network, which starts with 127.", "network");
  }
  layout.region = textField(object, "region", "local");
  layout.operator_key = textField(object, "operator_key");
  if (layout.operator_key.empty()) {
    throw base::Error(base::ResultCode::MissingField, "is required", "operator_key");
  }
  std::vector<std::string> zones = textListField(object, "zones");
  if (zones.empty()) {
    zones = {"a"};
  }
  layout.cores = parseNodes(object, "cores", "core-", zones);
  layout.fronts = parseNodes(object, "fronts", "front-", zones);
  for (const boost::json::object& group : objectListField(object, "workers")) {
    parseWorkerGroup(group, zones, layout);
  }
  const boost::json::object platform = objectField(object, "platform");
  layout.platform_lag_ms =
      static_cast<int>(integerField(platform, "lag_ms", layout.platform_lag_ms));
  layout.crashed_listed_ms =
      static_cast<int>(integerField(platform, "crashed_listed_ms", layout.crashed_listed_ms));
  layout.times_json = boost::json::serialize(objectField(object, "times"));
  layout.tolerated_core_losses =
      static_cast<int>(integerField(object, "tolerated_core_losses", layout.tolerated_core_losses));
  layout.limits_json = boost::json::serialize(objectField(object, "limits"));
  rejectDuplicateNames(layout);
  return layout;
}

}  // namespace switchsaddle::testbed
