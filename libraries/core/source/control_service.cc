#include "switchsaddle/core/control_service.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "control_json.h"
#include "operator_orders.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::core {

namespace {

using base::ResultCode;
using configuration::Fault;

constexpr std::string_view BearerPrefix = "Bearer ";
/** Stands in a pattern for one path segment, the name the operation is about. */
constexpr std::string_view NameSegment = "{}";

std::vector<std::string_view> segments(std::string_view path) {
  std::vector<std::string_view> parts;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/', 1), path.size());
    parts.push_back(path.substr(1, end - 1));
    path.remove_prefix(end);
  }
  return parts;
}

/** The name in the path where it fits the pattern; empty where the pattern has none. */
std::optional<std::string> match(std::string_view pattern, std::string_view path) {
  const std::vector<std::string_view> expected = segments(pattern);
  const std::vector<std::string_view> actual = segments(path);
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

/** Whether the query has the flag, alone or with a value other than "false". */
bool queryFlag(std::string_view target, std::string_view name) {
  const std::size_t start = target.find('?');
  if (start == std::string_view::npos) {
    return false;
  }
  std::string_view query = target.substr(start + 1);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view part = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = std::min(part.find('='), part.size());
    if (part.substr(0, equals) == name) {
      return part.substr(equals) != "=false";
    }
  }
  return false;
}

/** The code under which a faulty body is refused: that of its form, or of its content. */
ResultCode codeOf(const std::vector<Fault>& faults) {
  const bool malformed = faults.front().code == ResultCode::MalformedJson;
  return malformed ? ResultCode::MalformedJson : ResultCode::ConfigurationInvalid;
}

}  // namespace

/** One row of the API: a method on a path. */
struct ControlService::Operation {
  using Handler = void (ControlService::*)(const http::Request&, const std::string&, Respond);

  std::string_view method;
  std::string_view pattern;
  Handler handler;
};

std::vector<ControlService::Operation> ControlService::makeOperations() {
  using Self = ControlService;
  return {
      {"GET", "/v1/configuration", &Self::getConfiguration},
      {"GET", "/v1/configuration/history", &Self::getHistory},
      {"GET", "/v1/configuration/in-force", &Self::getInForce},
      {"POST", "/v1/configuration/changes", &Self::postChange},
      {"POST", "/v1/zones/{}/evacuation", &Self::postEvacuation},
      {"DELETE", "/v1/zones/{}/evacuation", &Self::deleteEvacuation},
      {"POST", "/v1/keys", &Self::postKey},
      {"DELETE", "/v1/keys/{}", &Self::deleteKey},
      {"GET", "/v1/status", &Self::getStatus},
      {"GET", "/v1/beliefs", &Self::getBeliefs},
      {"POST", "/v1/core/replacements", &Self::postReplacement},
  };
}

const std::vector<ControlService::Operation>& ControlService::operations() {
  static const std::vector<Operation> All = makeOperations();
  return All;
}

ControlService::ControlService(ControlDependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

bool ControlService::serves(const std::string& target) {
  const std::string_view path = http::targetPath(target);
  const std::vector<Operation>& all = operations();
  return std::any_of(all.begin(), all.end(), [&](const Operation& operation) {
    return match(operation.pattern, path).has_value();
  });
}

void ControlService::handle(const http::Request& request, Respond respond) {
  const ResultCode identity = authenticate(request);
  if (identity != ResultCode::Ok) {
    respond(controlError(identity));
    return;
  }
  const std::string_view path = http::targetPath(request.target);
  bool known_path = false;
  for (const Operation& operation : operations()) {
    const std::optional<std::string> name = match(operation.pattern, path);
    if (!name) {
      continue;
    }
    known_path = true;
    if (operation.method == request.method) {
      (this->*operation.handler)(request, *name, std::move(respond));
      return;
    }
  }
  respond(controlError(known_path ? ResultCode::MethodNotAllowed : ResultCode::UnknownPath));
}

ResultCode ControlService::authenticate(const http::Request& request) const {
  const std::string_view authorization = request.header("Authorization");
  if (!authorization.starts_with(BearerPrefix)) {
    return ResultCode::MissingKey;
  }
  const std::string hash =
      configuration::sha256Hex(std::string(authorization.substr(BearerPrefix.size())));
  const std::vector<std::string>& first = dependencies_.operator_hashes;
  const configuration::View& view = *dependencies_.replica.view();
  const bool is_operator = std::find(first.begin(), first.end(), hash) != first.end() ||
                           view.operator_hashes.contains(hash);
  if (is_operator) {
    return ResultCode::Ok;
  }
  return view.keys.contains(hash) ? ResultCode::NotAnOperator : ResultCode::UnknownKey;
}

void ControlService::readRegister(
    std::function<http::Response(const configuration::RegisterValue&)> describe, Respond respond) {
  dependencies_.proposer.read(registers::ConfigurationRegister,
                              [describe = std::move(describe), respond = std::move(respond)](
                                  const registers::RegisterOutcome& outcome) {
                                if (outcome.code != ResultCode::Ok) {
                                  respond(controlError(outcome.code));
                                  return;
                                }
                                http::Response response;
                                try {
                                  response =
                                      describe(configuration::decodeRegisterValue(outcome.value));
                                } catch (const base::Error& error) {
                                  response = controlError(error.code());
                                }
                                respond(std::move(response));
                              });
}

void ControlService::getConfiguration(const http::Request& /*request*/, const std::string& /*name*/,
                                      Respond respond) {
  readRegister([](const auto& value) { return configurationResponse(value.document); },
               std::move(respond));
}

void ControlService::getHistory(const http::Request& /*request*/, const std::string& /*name*/,
                                Respond respond) {
  readRegister([](const auto& value) { return historyResponse(value); }, std::move(respond));
}

void ControlService::getInForce(const http::Request& /*request*/, const std::string& /*name*/,
                                Respond respond) {
  dependencies_.sessions.readLive(
      [respond = std::move(respond)](ResultCode code, const auto& sessions) {
        respond(code == ResultCode::Ok ? inForceResponse(sessions) : controlError(code));
      });
}

void ControlService::getStatus(const http::Request& /*request*/, const std::string& /*name*/,
                               Respond respond) {
  const dissemination::ConfigurationReplica& replica = dependencies_.replica;
  respond(statusResponse(dependencies_.node.status(), dependencies_.sessions.localSessions(),
                         replica.version(), replica.digest()));
}

void ControlService::getBeliefs(const http::Request& /*request*/, const std::string& /*name*/,
                                Respond respond) {
  respond(beliefsResponse(dependencies_.node.status().address, dependencies_.node.beliefs()));
}

void ControlService::submit(const configuration::Change& change, bool dry_run, Respond respond) {
  dependencies_.coordinator.submit(change, dry_run,
                                   [respond = std::move(respond)](const ChangeAnswer& answer) {
                                     respond(changeResponse(answer));
                                   });
}

void ControlService::postChange(const http::Request& request, const std::string& /*name*/,
                                Respond respond) {
  std::vector<Fault> faults;
  const configuration::Change change = configuration::parseChange(request.body, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, queryFlag(request.target, "dry_run"), std::move(respond));
}

void ControlService::postEvacuation(const http::Request& request, const std::string& name,
                                    Respond respond) {
  std::vector<Fault> faults;
  const configuration::Change change = parseEvacuationOrder(request, name, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, false, std::move(respond));
}

void ControlService::deleteEvacuation(const http::Request& request, const std::string& name,
                                      Respond respond) {
  std::vector<Fault> faults;
  const configuration::Change change = parseRestoreOrder(request, name, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, false, std::move(respond));
}

void ControlService::postKey(const http::Request& request, const std::string& /*name*/,
                             Respond respond) {
  std::vector<Fault> faults;
  const configuration::Change change = parseKeyOrder(request, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, false, std::move(respond));
}

void ControlService::deleteKey(const http::Request& request, const std::string& name,
                               Respond respond) {
  std::vector<Fault> faults;
  const configuration::Change change = parseRevocation(request, name, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, false, std::move(respond));
}

void ControlService::postReplacement(const http::Request& request, const std::string& /*name*/,
                                     Respond respond) {
  std::vector<Fault> faults;
  const ReplacementOrder order = parseReplacement(request, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  dependencies_.replace_core(
      order.old_member, order.new_member, [respond = std::move(respond)](ResultCode code) {
        respond(code == ResultCode::Ok ? emptyResponse() : controlError(code));
      });
}

}  // namespace switchsaddle::core
