#include "control/control_requests.h"

#include <algorithm>
#include <optional>

#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::core {

namespace {

using base::ResultCode;
using configuration::Fault;

constexpr std::string_view BearerPrefix = "Bearer ";

base::NodeAddress parseAddress(const std::string& name, const configuration::JsonValue& value,
                               std::vector<Fault>& faults) {
  if (value.kind != configuration::JsonKind::String) {
    faults.push_back({name, ResultCode::InvalidValue, "must be a string"});
    return {};
  }
  try {
    return base::NodeAddress::parse(value.text);
  } catch (const base::Error& error) {
    faults.push_back({name, error.code(), error.what()});
    return {};
  }
}

}  // namespace

http::Response jsonResponse(std::uint16_t status, std::string body) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

http::Response controlError(base::ResultCode code,
                            const std::vector<configuration::Fault>& faults) {
  return jsonResponse(base::describe(code).http_status,
                      configuration::renderError(code, {}, faults));
}

base::ResultCode codeOf(const std::vector<configuration::Fault>& faults) {
  const bool malformed = faults.front().code == base::ResultCode::MalformedJson;
  return malformed ? base::ResultCode::MalformedJson : base::ResultCode::ConfigurationInvalid;
}

bool queryFlag(std::string_view target, std::string_view name) {
  const std::size_t start = target.find('?');
  if (start == std::string_view::npos) {
    return false;
  }
  std::string_view query = target.substr(start + 1);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    if (parameter.substr(0, equals) == name) {
      return parameter.substr(equals) != "=false";
    }
  }
  return false;
}

std::string bearerOf(const http::Request& request) {
  const std::string_view authorization = request.header("Authorization");
  if (!authorization.starts_with(BearerPrefix)) {
    return {};
  }
  return std::string(authorization.substr(BearerPrefix.size()));
}

ReplacementOrder parseReplacement(const std::string& body, std::vector<Fault>& faults) {
  ReplacementOrder order;
  const std::optional<configuration::JsonValue> value =
      configuration::parseJson(body, {}, "", faults);
  if (!value) {
    return order;
  }
  if (value->kind != configuration::JsonKind::Object) {
    faults.push_back({"", ResultCode::InvalidValue, "must be an object"});
    return order;
  }
  for (std::size_t index = 0; index < value->names.size(); ++index) {
    const std::string& name = value->names[index];
    if (name == "old") {
      order.old_member = parseAddress(name, value->elements[index], faults);
    } else if (name == "new") {
      order.new_member = parseAddress(name, value->elements[index], faults);
    } else {
      faults.push_back({name, ResultCode::UnknownField, "is not known"});
    }
  }
  if (faults.empty() && (order.old_member.empty() || order.new_member.empty())) {
    faults.push_back(
        {order.old_member.empty() ? "old" : "new", ResultCode::MissingField, "is missing"});
  }
  return order;
}

Caller callerOf(const http::Request& request, const ControlDependencies& dependencies) {
  const metrics::StrandWatch* watch = dependencies.strand_watch;
  const base::Duration delay = watch == nullptr ? base::Duration::zero() : watch->recentDelay();
  return {dependencies.dispatcher.now() - delay, request.client};
}

std::string changeIdOf(const http::Request& request, std::vector<Fault>& faults) {
  const std::string from_query = http::queryParameter(request.target, "change_id");
  if (request.body.empty() && !from_query.empty()) {
    return from_query;
  }
  return configuration::parseEvacuationRequest(request.body, faults);
}

}  // namespace switchsaddle::core
