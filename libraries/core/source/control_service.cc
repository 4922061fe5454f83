#include "switchsaddle/core/control_service.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "control_requests.h"
#include "status_json.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/dissemination/state_report.h"

namespace switchsaddle::core {

namespace {

using base::ResultCode;
using configuration::Fault;

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

configuration::ChangeResult resultOf(const ChangeAnswer& answer, bool dry_run) {
  configuration::ChangeResult result;
  result.code = answer.code;
  result.version = answer.version;
  result.faults = answer.faults;
  result.repeated = answer.repeated;
  result.dry_run = dry_run;
  return result;
}

std::vector<configuration::FrontInForce> frontsOf(
    const std::vector<wire::SessionTableEntry>& sessions) {
  std::vector<configuration::FrontInForce> fronts;
  for (const wire::SessionTableEntry& session : sessions) {
    const wire::SessionRecord& record = session.record;
    fronts.push_back({record.front.toString(), record.instance, record.zone, record.applied_version,
                      record.applied_digest});
  }
  return fronts;
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
      {"GET", "/v1/beliefs", &Self::getState},
      {"POST", "/v1/core/replacements", &Self::postReplacement},
      {"GET", "/v1/health/workers", &Self::getHealth},
      {"GET", "/v1/health/workers/{}", &Self::getWorkerHealth},
      {"GET", "/v1/maintenance", &Self::getMaintenance},
      {"POST", "/v1/maintenance/next", &Self::postNextMaintenance},
      {"POST", "/v1/maintenance/workers/{}", &Self::postMaintenance},
      {"DELETE", "/v1/maintenance/workers/{}", &Self::deleteMaintenance},
  };
}

const std::vector<ControlService::Operation>& ControlService::operations() {
  static const std::vector<Operation> all = makeOperations();
  return all;
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
  const std::string key = bearerOf(request);
  if (key.empty()) {
    return ResultCode::MissingKey;
  }
  const std::string hash = configuration::sha256Hex(key);
  const std::vector<std::string>& first = dependencies_.operator_hashes;
  const configuration::View& view = *dependencies_.replica.view();
  const bool is_operator = std::find(first.begin(), first.end(), hash) != first.end() ||
                           view.operator_hashes.contains(hash);
  if (is_operator) {
    return ResultCode::Ok;
  }
  return view.keys.contains(hash) ? ResultCode::NotAnOperator : ResultCode::UnknownKey;
}

void ControlService::readRegister(RegisterReader reader, Respond respond) {
  if (dependencies_.read_unconfirmed) {
    configuration::RegisterValue value;
    value.document = dependencies_.replica.document();
    reader(value, respond);
    return;
  }
  dependencies_.proposer.read(registers::ConfigurationRegister,
                              [reader = std::move(reader), respond = std::move(respond)](
                                  const registers::RegisterOutcome& outcome) {
                                if (outcome.code != ResultCode::Ok) {
                                  respond(controlError(outcome.code));
                                  return;
                                }
                                configuration::RegisterValue value;
                                try {
                                  value = configuration::decodeRegisterValue(outcome.value);
                                } catch (const base::Error& error) {
                                  respond(controlError(error.code()));
                                  return;
                                }
                                reader(value, respond);
                              });
}

void ControlService::readSource(SourceReader reader) {
  dependencies_.proposer.read(
      registers::ConfigurationRegister,
      [reader = std::move(reader)](const registers::RegisterOutcome& outcome) {
        if (outcome.code != ResultCode::Ok) {
          reader(outcome.code, {});
          return;
        }
        try {
          reader(ResultCode::Ok, configuration::decodeRegisterValue(outcome.value).source);
        } catch (const base::Error& error) {
          reader(error.code(), {});
        }
      });
}

void ControlService::getConfiguration(const http::Request& /*request*/, const std::string& /*name*/,
                                      Respond respond) {
  readRegister(
      [](const configuration::RegisterValue& value, const Respond& answer) {
        answer(jsonResponse(200, configuration::renderConfiguration(value.document)));
      },
      std::move(respond));
}

void ControlService::getHistory(const http::Request& /*request*/, const std::string& /*name*/,
                                Respond respond) {
  readRegister(
      [](const configuration::RegisterValue& value, const Respond& answer) {
        answer(jsonResponse(200, configuration::renderHistory(value.history)));
      },
      std::move(respond));
}

void ControlService::getInForce(const http::Request& /*request*/, const std::string& /*name*/,
                                Respond respond) {
  sessions::SessionDirectory& directory = dependencies_.sessions;
  readRegister(
      [&directory](const configuration::RegisterValue& value, const Respond& answer) {
        const std::uint64_t version = value.document.version;
        const std::uint64_t digest = value.document.digest();
        directory.readLive([version, digest, answer](ResultCode code, const auto& sessions) {
          if (code != ResultCode::Ok) {
            answer(controlError(code));
            return;
          }
          answer(
              jsonResponse(200, configuration::renderInForce(version, digest, frontsOf(sessions))));
        });
      },
      std::move(respond));
}

void ControlService::getStatus(const http::Request& /*request*/, const std::string& /*name*/,
                               Respond respond) {
  const dissemination::ConfigurationReplica& replica = dependencies_.replica;
  respond(jsonResponse(
      200, renderStatus(dependencies_.node.status(), dependencies_.sessions.localSessions(),
                        replica.version(), replica.digest())));
}

void ControlService::getState(const http::Request& /*request*/, const std::string& /*name*/,
                              Respond respond) {
  const NodeInformation& node = dependencies_.node;
  respond(jsonResponse(
      200, configuration::renderStateReport(dissemination::reportState(
               node.status().address, node.beliefs(), dependencies_.dispatcher.now()))));
}

void ControlService::submit(const configuration::Change& change, bool dry_run, Respond respond) {
  dependencies_.coordinator.submit(
      change, dry_run, [dry_run, respond = std::move(respond)](const ChangeAnswer& answer) {
        respond(jsonResponse(base::describe(answer.code).http_status,
                             configuration::renderChangeResult(resultOf(answer, dry_run))));
      });
}

void ControlService::submitOrder(const configuration::Change& change,
                                 const std::vector<Fault>& faults, Respond respond) {
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, false, std::move(respond));
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
  const std::string change_id = changeIdOf(request, faults);
  submitOrder(configuration::evacuationChange(change_id, name, false), faults, std::move(respond));
}

void ControlService::deleteEvacuation(const http::Request& request, const std::string& name,
                                      Respond respond) {
  std::vector<Fault> faults;
  const std::string change_id = changeIdOf(request, faults);
  submitOrder(configuration::evacuationChange(change_id, name, true), faults, std::move(respond));
}

void ControlService::postKey(const http::Request& request, const std::string& /*name*/,
                             Respond respond) {
  std::vector<Fault> faults;
  const configuration::KeyRequest key = configuration::parseKeyRequest(request.body, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  const configuration::KeyIssue issue = configuration::issueKey(key, bearerOf(request));
  dependencies_.coordinator.submit(
      issue.change, false, [issue, respond = std::move(respond)](const ChangeAnswer& answer) {
        respond(jsonResponse(base::describe(answer.code).http_status,
                             configuration::renderKeyResult(issue, resultOf(answer, false))));
      });
}

void ControlService::deleteKey(const http::Request& request, const std::string& name,
                               Respond respond) {
  std::vector<Fault> faults;
  const std::string change_id = changeIdOf(request, faults);
  submitOrder(configuration::revokeKeyChange(change_id, name), faults, std::move(respond));
}

void ControlService::postReplacement(const http::Request& request, const std::string& /*name*/,
                                     Respond respond) {
  std::vector<Fault> faults;
  const ReplacementOrder order = parseReplacement(request.body, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  dependencies_.replace_core(
      order.old_member, order.new_member, [respond = std::move(respond)](ResultCode code) {
        std::vector<Fault> causes;
        if (code == ResultCode::InvalidValue) {
          causes.push_back({"old", code, "is no member, or `new` is no core node without a place"});
        }
        respond(code == ResultCode::Ok ? jsonResponse(200, "{}") : controlError(code, causes));
      });
}

}  // namespace switchsaddle::core
