#include "request/status_resources.h"

#include <algorithm>
#include <array>

#include "request/caller_answers.h"
#include "request/caller_authentication.h"
#include "routing_page.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::front {

using base::ResultCode;

namespace {

constexpr std::array<std::string_view, 6> Paths{"/",        "/healthz",    "/readyz",
                                                "/metrics", "/v1/routing", "/v1/beliefs"};
/** The page embeds its styles and scripts, and sends requests to this front only. */
constexpr const char* PagePolicy =
    "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; "
    "img-src data:; connect-src 'self'";

void writeRow(configuration::JsonWriter& writer, const routing::RoutingRow& row) {
  writer.beginObject();
  writer.name("model").string(row.model);
  writer.name("arm").string(row.arm);
  writer.name("tokens_per_second").number(row.tokens_per_second);
  writer.name("coefficient").number(row.coefficient);
  writer.name("expected_share").number(row.expected_share);
  writer.name("samples").unsignedInteger(row.samples);
  writer.name("mass").number(row.mass);
  writer.name("status").string(row.status);
  writer.name("epoch").unsignedInteger(row.epoch);
  writer.name("first_token_estimate_ms").number(row.first_token_estimate_ms);
  writer.name("in_flight").unsignedInteger(row.in_flight);
  writer.name("seconds_per_prefill_token").number(row.seconds_per_prefill_token);
  writer.name("seconds_per_output_token").number(row.seconds_per_output_token);
  writer.endObject();
}

/** Writes the routing settings in force, under the names that ADR-0021 defines. */
void writeTuning(configuration::JsonWriter& writer, const configuration::Tuning& tuning) {
  writer.name("tuning").beginObject();
  writer.name("route-explore-share").number(tuning.route_explore_share);
  writer.name("route-weight-alpha").number(tuning.route_weight_alpha);
  writer.name("route-stats-half-life").number(tuning.route_stats_half_life_s);
  writer.name("route-min-sample-tokens").unsignedInteger(tuning.route_min_sample_tokens);
  writer.endObject();
}

http::Response page() {
  http::Response response;
  response.headers.push_back({"Content-Type", "text/html; charset=utf-8"});
  response.headers.push_back({"Content-Security-Policy", PagePolicy});
  response.body = routingPage();
  return response;
}

http::Response metricsResponse(std::string body) {
  http::Response response;
  response.headers.push_back({"Content-Type", metrics::ContentType});
  response.body = std::move(body);
  return response;
}

http::Response readinessResponse(ResultCode readiness) {
  return readiness == ResultCode::Ok ? jsonAnswer("{\"status\":\"ready\"}")
                                     : errorAnswer(readiness, {});
}

}  // namespace

bool StatusResources::serves(std::string_view path) {
  return std::ranges::find(Paths, path) != Paths.end();
}

http::Response StatusResources::respond(const http::Request& request, std::string_view path,
                                        ResultCode readiness) const {
  if (serves(path) && request.method != "GET") {
    throw base::Error(ResultCode::MethodNotAllowed, "");
  }
  if (path == "/") {
    return page();
  }
  if (path == "/healthz") {
    return jsonAnswer("{\"status\":\"ok\"}");
  }
  if (path == "/readyz") {
    return readinessResponse(readiness);
  }
  if (path == "/metrics") {
    return metricsResponse(dependencies_.metrics());
  }
  if (path == "/v1/routing") {
    return routingTable(request);
  }
  if (path == "/v1/beliefs") {
    return stateReport(request);
  }
  throw base::Error(ResultCode::UnknownPath, "");
}

http::Response StatusResources::routingTable(const http::Request& request) const {
  std::vector<std::string> models{http::queryParameter(request.target, "model")};
  if (models.front().empty()) {
    models.clear();
    for (const auto& [name, route] : dependencies_.fleet_view.configuration()->routes) {
      models.insert(models.end(), route.models.begin(), route.models.end());
    }
  }
  configuration::JsonWriter writer;
  writer.beginObject();
  writer.name("node").raw(dependencies_.node_report());
  writeTuning(writer, dependencies_.fleet_view.configuration()->tuning);
  writer.name("rows").beginArray();
  for (const std::string& model : models) {
    for (const routing::RoutingRow& row : dependencies_.router.table(model)) {
      writeRow(writer, row);
    }
  }
  writer.endArray().endObject();
  return jsonAnswer(writer.text());
}

http::Response StatusResources::stateReport(const http::Request& request) const {
  authenticateOperator(*dependencies_.fleet_view.configuration(), dependencies_.operator_hashes,
                       request);
  return jsonAnswer(dependencies_.state_report());
}

}  // namespace switchsaddle::front
