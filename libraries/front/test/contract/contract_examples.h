#pragma once

#include <string>
#include <utility>
#include <vector>

namespace switchsaddle::front::contract {

/** A valid request and the status that it must return. */
struct Example {
  std::string target;
  std::string body;
  int status = 200;
  bool has_idempotency_key = false;
};

inline constexpr const char* Chat =
    R"({"model":"large","messages":[{"role":"user","content":"hi"}]})";
inline constexpr const char* Order = R"({"service":"orders","payload":{"n":1}})";

/** Valid requests by operationId, in the order in which they are sent. */
inline const std::vector<std::pair<std::string, Example>> Examples{
    {"createCompletion", {"/v1/chat/completions", Chat}},
    {"createOneShot", {"/v1/one-shots", Order, 200, true}},
    {"getHealth", {"/healthz", ""}},
    {"getReadiness", {"/readyz", ""}},
    {"getMetrics", {"/metrics", ""}},
    {"getRoutingPage", {"/", ""}},
    {"getRouting", {"/v1/routing", ""}},
    {"getRouting", {"/v1/routing?model=large", ""}},
    {"getConfiguration", {"/v1/configuration", ""}},
    {"getHistory", {"/v1/configuration/history", ""}},
    {"getInForce", {"/v1/configuration/in-force", ""}},
    {"createChange",
     {"/v1/configuration/changes?dry_run=true",
      R"({"change_id":"d1","base_version":1,"set":{"tuning/route-weight-alpha":1.5}})"}},
    {"createChange",
     {"/v1/configuration/changes",
      R"({"change_id":"d2","base_version":0,"set":{"tuning/route-weight-alpha":1.5}})", 409}},
    {"createChange",
     {"/v1/configuration/changes",
      R"({"change_id":"d3","base_version":1,"set":{"tuning/route-weight-alpha":"x"}})", 422}},
    {"evacuateZone", {"/v1/zones/south/evacuation", R"({"change_id":"z1"})"}},
    {"restoreZone", {"/v1/zones/south/evacuation?change_id=z2", ""}},
    {"getWorkerRanking", {"/v1/health/workers", ""}},
    {"getWorkerHealth", {"/v1/health/workers/models", ""}},
    {"maintainNext", {"/v1/maintenance/next", R"({"change_id":"m1"})", 409}},
    {"startMaintenance", {"/v1/maintenance/workers/nobody", R"({"change_id":"m2"})", 404}},
    {"getMaintenance", {"/v1/maintenance", ""}},
    {"finishMaintenance", {"/v1/maintenance/workers/nobody?change_id=m3", ""}},
    {"addKey", {"/v1/keys", R"({"change_id":"k1","tenant":"editors","id":"extra"})"}},
    {"revokeKey", {"/v1/keys/extra?change_id=k2", ""}},
    {"getStatus", {"/v1/status", ""}},
    {"getBeliefs", {"/v1/beliefs", ""}},
    {"replaceCore", {"/v1/core/replacements", R"({"old":"127.0.9.9:1","new":"127.0.1.1:1"})"}},
};

}  // namespace switchsaddle::front::contract
