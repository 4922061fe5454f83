#include "control/control_routes.h"

#include <algorithm>
#include <array>
#include <vector>

#include "switchsaddle/http/message.h"

namespace switchsaddle::core {

namespace {

/** Placeholder in a pattern for the variable segment of the path. */
constexpr std::string_view NameSegment = "{}";

struct RoutePattern {
  std::string_view method;
  std::string_view path;
  ControlOperation operation;
};

constexpr auto RoutePatterns = std::to_array<RoutePattern>({
    {"GET", "/v1/configuration", ControlOperation::GetConfiguration},
    {"GET", "/v1/configuration/history", ControlOperation::GetHistory},
    {"GET", "/v1/configuration/in-force", ControlOperation::GetInForce},
    {"POST", "/v1/configuration/changes", ControlOperation::PostChange},
    {"POST", "/v1/zones/{}/evacuation", ControlOperation::PostEvacuation},
    {"DELETE", "/v1/zones/{}/evacuation", ControlOperation::DeleteEvacuation},
    {"POST", "/v1/keys", ControlOperation::PostKey},
    {"DELETE", "/v1/keys/{}", ControlOperation::DeleteKey},
    {"GET", "/v1/status", ControlOperation::GetStatus},
    {"GET", "/v1/beliefs", ControlOperation::GetState},
    {"POST", "/v1/core/replacements", ControlOperation::PostReplacement},
    {"GET", "/v1/health/workers", ControlOperation::GetHealth},
    {"GET", "/v1/health/workers/{}", ControlOperation::GetWorkerHealth},
    {"GET", "/v1/maintenance", ControlOperation::GetMaintenance},
    {"POST", "/v1/maintenance/next", ControlOperation::PostNextMaintenance},
    {"POST", "/v1/maintenance/workers/{}", ControlOperation::PostMaintenance},
    {"DELETE", "/v1/maintenance/workers/{}", ControlOperation::DeleteMaintenance},
});

std::vector<std::string_view> segmentsOf(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/', 1), path.size());
    segments.push_back(path.substr(1, end - 1));
    path.remove_prefix(end);
  }
  return segments;
}

/** @return the variable segment, empty if the pattern has none; std::nullopt if the path does not
 * match. */
std::optional<std::string> match(std::string_view pattern, std::string_view path) {
  const std::vector<std::string_view> expected = segmentsOf(pattern);
  const std::vector<std::string_view> actual = segmentsOf(path);
  if (expected.size() != actual.size()) {
    return std::nullopt;
  }
  std::string name;
  for (std::size_t index = 0; index < expected.size(); ++index) {
    if (expected[index] == NameSegment && !actual[index].empty()) {
      name = actual[index];
    } else if (expected[index] != actual[index]) {
      return std::nullopt;
    }
  }
  return name;
}

}  // namespace

ControlRoute routeControl(std::string_view method, std::string_view target) {
  const std::string_view path = http::targetPath(target);
  ControlRoute route;
  for (const RoutePattern& pattern : RoutePatterns) {
    std::optional<std::string> name = match(pattern.path, path);
    if (!name) {
      continue;
    }
    route.known_path = true;
    if (pattern.method == method) {
      route.operation = pattern.operation;
      route.name = std::move(*name);
      return route;
    }
  }
  return route;
}

}  // namespace switchsaddle::core
