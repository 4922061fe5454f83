#include "control/configuration_handlers.h"

#include <utility>

#include "control/control_requests.h"
#include "switchsaddle/configuration/change_json.h"

namespace switchsaddle::core {

namespace {

using base::ResultCode;
using configuration::Fault;

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

void ConfigurationHandlers::getConfiguration(Respond respond) const {
  reader_.read(
      [](const configuration::RegisterValue& value, const Respond& then) {
        then(jsonResponse(StatusOk, configuration::renderConfiguration(value.document)));
      },
      std::move(respond));
}

void ConfigurationHandlers::getHistory(Respond respond) const {
  reader_.read(
      [](const configuration::RegisterValue& value, const Respond& then) {
        then(jsonResponse(StatusOk, configuration::renderHistory(value.history)));
      },
      std::move(respond));
}

void ConfigurationHandlers::getInForce(Respond respond) const {
  sessions::SessionDirectory& directory = dependencies_.sessions;
  reader_.read(
      [&directory](const configuration::RegisterValue& value, const Respond& then) {
        const std::uint64_t version = value.document.version;
        const std::uint64_t digest = value.document.digest();
        directory.readLive([version, digest, then](ResultCode code, const auto& sessions) {
          if (code != ResultCode::Ok) {
            then(controlError(code));
            return;
          }
          then(jsonResponse(StatusOk,
                            configuration::renderInForce(version, digest, frontsOf(sessions))));
        });
      },
      std::move(respond));
}

void ConfigurationHandlers::submit(const configuration::Change& change, bool dry_run,
                                   const Caller& caller, Respond respond) const {
  dependencies_.coordinator.submit(
      change, dry_run, caller, [dry_run, respond = std::move(respond)](const ChangeAnswer& answer) {
        respond(jsonResponse(base::describe(answer.code).http_status,
                             configuration::renderChangeResult(resultOf(answer, dry_run))));
      });
}

void ConfigurationHandlers::submitOrder(const configuration::Change& change,
                                        const std::vector<Fault>& faults, const Caller& caller,
                                        Respond respond) const {
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, false, caller, std::move(respond));
}

void ConfigurationHandlers::postChange(const http::Request& request, Respond respond) const {
  std::vector<Fault> faults;
  const configuration::Change change = configuration::parseChange(request.body, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  submit(change, queryFlag(request.target, "dry_run"), callerOf(request, dependencies_),
         std::move(respond));
}

void ConfigurationHandlers::postEvacuation(const http::Request& request, const std::string& zone,
                                           Respond respond) const {
  std::vector<Fault> faults;
  const std::string change_id = changeIdOf(request, faults);
  submitOrder(configuration::evacuationChange(change_id, zone, false), faults,
              callerOf(request, dependencies_), std::move(respond));
}

void ConfigurationHandlers::deleteEvacuation(const http::Request& request, const std::string& zone,
                                             Respond respond) const {
  std::vector<Fault> faults;
  const std::string change_id = changeIdOf(request, faults);
  submitOrder(configuration::evacuationChange(change_id, zone, true), faults,
              callerOf(request, dependencies_), std::move(respond));
}

void ConfigurationHandlers::postKey(const http::Request& request, Respond respond) const {
  std::vector<Fault> faults;
  const configuration::KeyRequest key = configuration::parseKeyRequest(request.body, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  const configuration::KeyIssue issue = configuration::issueKey(key, bearerOf(request));
  dependencies_.coordinator.submit(
      issue.change, false, callerOf(request, dependencies_),
      [issue, respond = std::move(respond)](const ChangeAnswer& answer) {
        respond(jsonResponse(base::describe(answer.code).http_status,
                             configuration::renderKeyResult(issue, resultOf(answer, false))));
      });
}

void ConfigurationHandlers::deleteKey(const http::Request& request, const std::string& key,
                                      Respond respond) const {
  std::vector<Fault> faults;
  const std::string change_id = changeIdOf(request, faults);
  submitOrder(configuration::revokeKeyChange(change_id, key), faults,
              callerOf(request, dependencies_), std::move(respond));
}

}  // namespace switchsaddle::core
