#include "switchsaddle/operator_client/operator_client.h"

#include <ostream>

#include "change_submitter.h"
#include "outcome_reporter.h"
#include "response_body.h"
#include "switchsaddle/configuration/json_writer.h"
#include "url_escape.h"

namespace switchsaddle::operator_client {

namespace {

using configuration::Fault;
using configuration::JsonValue;
using configuration::JsonWriter;

/** @return the members of the written object, without its braces. */
std::string membersOf(const JsonWriter& writer) {
  return writer.text().substr(1, writer.text().size() - 2);
}

/** Writes the entries of a document as a configuration file. */
void writeConfigurationFile(const JsonValue& document, std::ostream& out) {
  out << "{";
  for (std::size_t index = 0; index < document.names.size(); ++index) {
    out << (index == 0 ? "\n  " : ",\n  ") << configuration::jsonString(document.names[index])
        << ": " << document.elements[index].canonical();
  }
  out << "\n}\n";
}

}  // namespace

OperatorClient::OperatorClient(ControlEndpoint& endpoint, bool json, std::ostream& out,
                               std::ostream& errors)
    : endpoint_(endpoint),
      json_(json),
      out_(out),
      reporter_(std::make_unique<OutcomeReporter>(json, out, errors)),
      submitter_(std::make_unique<ChangeSubmitter>(endpoint, *reporter_)) {}

OperatorClient::~OperatorClient() = default;

ExitCode OperatorClient::apply(const std::string& text, bool replace_all,
                               const ChangeOptions& options) {
  std::vector<Fault> faults;
  const configuration::Document document = configuration::parseConfigurationFile(text, faults);
  if (!faults.empty()) {
    reporter_->reportFaults("the configuration file is invalid:", faults);
    return ExitCode::Refused;
  }
  const std::string member = replace_all ? "\"document\":" : "\"set\":";
  return submitter_->submit(member + document.toJson(), options);
}

ExitCode OperatorClient::set(const std::string& path, const std::string& json,
                             const ChangeOptions& options) {
  std::vector<Fault> faults;
  const std::optional<JsonValue> value = configuration::parseJson(json, {}, path, faults);
  if (!value) {
    reporter_->reportFaults("expected a value in JSON:", faults);
    return ExitCode::Refused;
  }
  JsonWriter writer;
  writer.beginObject().name("set").beginObject();
  writer.name(path).raw(value->canonical());
  writer.endObject().endObject();
  return submitter_->submit(membersOf(writer), options);
}

ExitCode OperatorClient::remove(const std::string& path, const ChangeOptions& options) {
  JsonWriter writer;
  writer.beginObject().name("remove").beginArray().string(path).endArray().endObject();
  return submitter_->submit(membersOf(writer), options);
}

ExitCode OperatorClient::show(const std::string& target) {
  return reporter_->report(endpoint_.call({"GET", target, ""}), "");
}

ExitCode OperatorClient::showRouting(const std::string& model) {
  return show(model.empty() ? "/v1/routing" : "/v1/routing?model=" + escapeForUrl(model));
}

ExitCode OperatorClient::get() {
  const ControlOutcome outcome = endpoint_.call({"GET", "/v1/configuration", ""});
  const std::optional<JsonValue> body = parseBody(outcome.body);
  const JsonValue* document = body ? body->find("document") : nullptr;
  if (json_ || outcome.status != StatusOk || document == nullptr) {
    return reporter_->report(outcome, "");
  }
  out_ << "// version " << body->integerOf("version") << ", digest " << body->textOf("digest")
       << "\n";
  writeConfigurationFile(*document, out_);
  return ExitCode::Done;
}

ExitCode OperatorClient::postWithChangeId(const std::string& target, const std::string& change_id) {
  const std::string id = changeIdOrNew(change_id);
  JsonWriter writer;
  writer.beginObject().name("change_id").string(id).endObject();
  return reporter_->report(endpoint_.call({"POST", target, writer.text(), true}), retryHint(id));
}

ExitCode OperatorClient::deleteWithChangeId(const std::string& target,
                                            const std::string& change_id) {
  const std::string id = changeIdOrNew(change_id);
  const std::string full_target = target + "?change_id=" + escapeForUrl(id);
  return reporter_->report(endpoint_.call({"DELETE", full_target, "", true}), retryHint(id));
}

ExitCode OperatorClient::evacuate(const std::string& zone, const std::string& change_id) {
  return postWithChangeId("/v1/zones/" + escapeForUrl(zone) + "/evacuation", change_id);
}

ExitCode OperatorClient::restore(const std::string& zone, const std::string& change_id) {
  return deleteWithChangeId("/v1/zones/" + escapeForUrl(zone) + "/evacuation", change_id);
}

ExitCode OperatorClient::showWorkerHealth(const std::string& worker) {
  return show("/v1/health/workers/" + escapeForUrl(worker));
}

ExitCode OperatorClient::maintainNext(const std::string& change_id) {
  return postWithChangeId("/v1/maintenance/next", change_id);
}

ExitCode OperatorClient::startMaintenance(const std::string& worker, const std::string& change_id) {
  return postWithChangeId("/v1/maintenance/workers/" + escapeForUrl(worker), change_id);
}

ExitCode OperatorClient::finishMaintenance(const std::string& worker,
                                           const std::string& change_id) {
  return deleteWithChangeId("/v1/maintenance/workers/" + escapeForUrl(worker), change_id);
}

ExitCode OperatorClient::addKey(const KeyOptions& options) {
  const std::string id = changeIdOrNew(options.change_id);
  JsonWriter writer;
  writer.beginObject().name("change_id").string(id);
  writer.name("tenant").string(options.tenant);
  if (!options.id.empty()) {
    writer.name("id").string(options.id);
  }
  if (!options.sha256.empty()) {
    writer.name("sha256").string(options.sha256);
  }
  writer.endObject();
  return reporter_->report(endpoint_.call({"POST", "/v1/keys", writer.text(), true}),
                           retryHint(id));
}

ExitCode OperatorClient::revokeKey(const std::string& id, const std::string& change_id) {
  return deleteWithChangeId("/v1/keys/" + escapeForUrl(id), change_id);
}

std::optional<configuration::StateReport> OperatorClient::fetchState(
    const base::NodeAddress& address) {
  const ControlOutcome outcome = endpoint_.callAt(address, {"GET", "/v1/beliefs", ""});
  if (outcome.status != StatusOk) {
    reporter_->reportFailure(outcome, "");
    return std::nullopt;
  }
  std::vector<Fault> faults;
  std::optional<configuration::StateReport> report =
      configuration::parseStateReport(outcome.body, faults);
  if (!report) {
    reporter_->reportFaults(address.toString() + " sent an invalid response to GET /v1/beliefs:",
                            faults);
  }
  return report;
}

ExitCode OperatorClient::compare(const base::NodeAddress& first, const base::NodeAddress& second) {
  const auto first_report = fetchState(first);
  const auto second_report = fetchState(second);
  if (!first_report || !second_report) {
    return ExitCode::Unknown;
  }
  const auto differences = configuration::compareStates(*first_report, *second_report);
  if (json_) {
    out_ << configuration::renderDifferencesJson(*first_report, *second_report, differences)
         << "\n";
  } else {
    out_ << configuration::renderDifferences(*first_report, *second_report, differences);
  }
  return differences.empty() ? ExitCode::Done : ExitCode::Refused;
}

ExitCode OperatorClient::replaceCore(const base::NodeAddress& old_member,
                                     const base::NodeAddress& new_member) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("old").string(old_member.toString());
  writer.name("new").string(new_member.toString());
  writer.endObject();
  // The response to a repeated request for a completed replacement is the same.
  const ExitCode code =
      reporter_->report(endpoint_.call({"POST", "/v1/core/replacements", writer.text(), true}),
                        "run the same command again");
  if (code == ExitCode::Done && !json_) {
    out_ << old_member.toString() << " is replaced by " << new_member.toString() << "\n";
  }
  return code;
}

}  // namespace switchsaddle::operator_client
