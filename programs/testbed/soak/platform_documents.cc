#include "soak/platform_documents.h"

#include <utility>

#include "soak/soak_dialect.h"

namespace switchsaddle::testbed_commands {

namespace {

namespace json = boost::json;

constexpr int TimeoutMs = 4'000;

json::object route(const std::string& name, const std::string& host, const std::string& prefix,
                   int timeout_ms) {
  return {
      {"name", name},    {"host", host},     {"pathPrefix", prefix},   {"timeoutMs", timeout_ms},
      {"targetMs", 600}, {"priority", 1},    {"service", SoakService}, {"attempts", 2},
      {"public", false}, {"type", "unsafe"}, {"resumable", false},     {"itlTargetMs", 600}};
}

http::Request orderRequest(const char* target, std::uint64_t base, std::string body) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.headers = {{"Content-Type", "application/json"},
                     {"Switchsaddle-Base-Version", std::to_string(base)}};
  request.body = std::move(body);
  return request;
}

}  // namespace

json::object platformStreamRoute(int timeout_ms) {
  json::object stream = route("stream", SoakHost, "/stream/", timeout_ms);
  stream["type"] = "stream";
  stream["sticky"] = true;
  return stream;
}

json::object platformDocument(std::uint64_t version) {
  const json::object engine{
      {"slots", 64},       {"kvCapacity", 442'259},
      {"kvBytes", 18'432}, {"linkMbps", 550'000},
      {"stride", 7},       {"models", json::array{json::object{{"name", "m"}}}}};
  const json::object service{{"name", SoakService}, {"healthPath", "/healthz"},
                             {"maxConns", 340},     {"protocol", "h1"},
                             {"tls", false},        {"coldS", 3.0},
                             {"coldPerS", 10.0},    {"engine", engine}};
  const json::object tenant{{"name", "t1"},        {"apiKeys", json::array{SoakTenantKey, "spare"}},
                            {"priority", 1},       {"unit", "tokens"},
                            {"uncachedTokens", 1}, {"ratePerS", 2'000'000},
                            {"burst", 2'000'000}};
  return {{"version", version},
          {"routes", json::array{route("once", SoakHost, "/once/", TimeoutMs),
                                 platformStreamRoute(TimeoutMs)}},
          {"services", json::array{service}},
          {"limits", json::object{{"maxHeaderBytes", 16'384},
                                  {"maxBodyBytes", 4'194'304},
                                  {"headerTimeoutMs", 3'000},
                                  {"idleTimeoutMs", 15'000}}},
          {"tenants", json::array{tenant}}};
}

json::array platformFurtherRoutes(std::uint64_t count) {
  json::array routes;
  for (std::uint64_t number = 1; number <= count; ++number) {
    const std::string name = "further-" + std::to_string(number);
    routes.push_back(route(name, "further.example", "/" + name + "/", TimeoutMs));
  }
  return routes;
}

http::Request replaceRequest(std::uint64_t base, std::string document) {
  return orderRequest("/config/replace", base, std::move(document));
}

http::Request patchRequest(std::uint64_t base, const json::object& patch) {
  return orderRequest("/config/patch", base, json::serialize(patch));
}

}  // namespace switchsaddle::testbed_commands
