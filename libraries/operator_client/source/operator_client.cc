#include "switchsaddle/operator_client/operator_client.h"

#include <cctype>
#include <ostream>
#include <string_view>

#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/json_writer.h"
#include "switchsaddle/operator_client/tables.h"

namespace switchsaddle::operator_client {

namespace {

using configuration::Fault;
using configuration::JsonKind;
using configuration::JsonValue;
using configuration::JsonWriter;

constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusAccepted = 202;
constexpr configuration::JsonLimits BodyLimits{
    .maximum_bytes = 67'108'864, .maximum_depth = 32, .comments = false};

std::optional<JsonValue> parseBody(const std::string& body) {
  std::vector<Fault> ignored;
  return configuration::parseJson(body, BodyLimits, "", ignored);
}

std::string membersOf(const JsonWriter& writer) {
  // Without the outer braces, to be joined with the members that every change has.
  return writer.text().substr(1, writer.text().size() - 2);
}

void writeFaults(const std::vector<Fault>& faults, std::ostream& errors) {
  for (const Fault& fault : faults) {
    errors << "  " << (fault.path.empty() ? "(whole)" : fault.path) << ": "
           << static_cast<int>(fault.code) << " " << base::describe(fault.code).name << ": "
           << fault.message << "\n";
  }
}

void writeErrorBody(const JsonValue& error, std::ostream& errors) {
  errors << error.integerOf("code") << " " << error.textOf("name") << ": "
         << error.textOf("message") << "\n";
  const JsonValue* faults = error.find("faults");
  if (faults == nullptr) {
    return;
  }
  for (const JsonValue& fault : faults->elements) {
    errors << "  " << fault.textOf("path") << ": " << fault.integerOf("code") << " "
           << fault.textOf("message") << "\n";
  }
}

/** Escapes all but unreserved characters, for one part of a path or a query's value. */
std::string escapeForUrl(const std::string& text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view Unreserved = "-._~";
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool is_alphanumeric = byte < 0x80U && std::isalnum(byte) != 0;
    if (is_alphanumeric || Unreserved.find(character) != std::string_view::npos) {
      escaped += character;
      continue;
    }
    escaped += '%';
    escaped += Digits[byte >> 4U];
    escaped += Digits[byte & 0xfU];
  }
  return escaped;
}

std::string changeIdOr(const std::string& given) {
  return given.empty() ? makeChangeId() : given;
}

std::string resendHint(const std::string& change_id) {
  return "send it again with --change-id " + change_id;
}

}  // namespace

std::string makeChangeId() {
  base::RandomSource high = base::RandomSource::fromSystem();
  base::RandomSource low = base::RandomSource::fromSystem();
  return "ctl-" + configuration::digestText(high.next()) + configuration::digestText(low.next());
}

OperatorClient::OperatorClient(ControlEndpoint& endpoint, bool json, std::ostream& out,
                               std::ostream& errors)
    : endpoint_(endpoint), json_(json), out_(out), errors_(errors) {}

ExitCode OperatorClient::reportFailure(const ControlOutcome& outcome,
                                       const std::string& resend_hint) {
  if (!outcome.is_answered) {
    errors_ << "no node answered";
    if (!resend_hint.empty()) {
      errors_ << "; it may have been carried out: " << resend_hint;
    }
    errors_ << "\n";
    return ExitCode::Unknown;
  }
  const std::optional<JsonValue> body = parseBody(outcome.body);
  const JsonValue* error = body ? body->find("error") : nullptr;
  errors_ << outcome.address.toString() << " answered " << outcome.status << "\n";
  if (error != nullptr) {
    writeErrorBody(*error, errors_);
  }
  if (body && body->find("version") != nullptr) {
    errors_ << "the version in force is " << body->integerOf("version") << "\n";
  }
  constexpr std::uint16_t FirstServerError = 500;
  if (outcome.status >= FirstServerError && !resend_hint.empty()) {
    errors_ << "it may have been carried out: " << resend_hint << "\n";
    return ExitCode::Unknown;
  }
  return ExitCode::Refused;
}

ExitCode OperatorClient::report(const ControlOutcome& outcome, const std::string& resend_hint) {
  const bool is_good = outcome.status == StatusOk || outcome.status == StatusAccepted;
  if (json_ && outcome.is_answered) {
    out_ << outcome.body << "\n";
  }
  if (!is_good) {
    return reportFailure(outcome, resend_hint);
  }
  const std::optional<JsonValue> body = parseBody(outcome.body);
  if (!json_) {
    out_ << (body ? renderBody(*body) : outcome.body);
  }
  if (outcome.status == StatusAccepted) {
    errors_ << "committed, not yet in force on every front: " << resend_hint << "\n";
    return ExitCode::NotYetInForce;
  }
  return ExitCode::Done;
}

std::optional<std::uint64_t> OperatorClient::baseFromHistory(const std::string& change_id) {
  const ControlOutcome outcome = endpoint_.call({"GET", "/v1/configuration/history", ""});
  const std::optional<JsonValue> body = parseBody(outcome.body);
  const JsonValue* changes = body ? body->find("changes") : nullptr;
  if (changes == nullptr) {
    return std::nullopt;
  }
  for (const JsonValue& line : changes->elements) {
    if (line.textOf("change_id") == change_id) {
      return static_cast<std::uint64_t>(line.integerOf("version")) - 1;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> OperatorClient::findBaseVersion(const ChangeOptions& options) {
  if (options.base_version) {
    return options.base_version;
  }
  if (!options.change_id.empty()) {
    // A change that was committed before must be sent again as it was, with its own base.
    if (const auto base_version = baseFromHistory(options.change_id)) {
      return base_version;
    }
  }
  const ControlOutcome outcome = endpoint_.call({"GET", "/v1/configuration", ""});
  const std::optional<JsonValue> body = parseBody(outcome.body);
  if (outcome.status != StatusOk || !body || body->find("version") == nullptr) {
    reportFailure(outcome, "");
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(body->integerOf("version"));
}

ExitCode OperatorClient::submit(const Submission& submission) {
  const std::optional<std::uint64_t> base_version = findBaseVersion(submission.options);
  if (!base_version) {
    return ExitCode::Refused;
  }
  const std::string change_id = changeIdOr(submission.options.change_id);
  JsonWriter common;
  common.beginObject();
  common.name("change_id").string(change_id);
  common.name("base_version").unsignedInteger(*base_version);
  common.endObject();
  ControlCall call;
  call.method = "POST";
  call.target = "/v1/configuration/changes";
  call.target += submission.options.dry_run ? "?dry_run=true" : "";
  call.body = "{" + membersOf(common) + "," + submission.members + "}";
  call.awaits_force = !submission.options.dry_run;
  const std::string hint =
      resendHint(change_id) + " --base-version " + std::to_string(*base_version);
  return report(endpoint_.call(call), submission.options.dry_run ? "" : hint);
}

ExitCode OperatorClient::apply(const std::string& text, bool whole, const ChangeOptions& options) {
  std::vector<Fault> faults;
  const configuration::Document document = configuration::parseConfigurationFile(text, faults);
  if (!faults.empty()) {
    errors_ << "the file is not a configuration\n";
    writeFaults(faults, errors_);
    return ExitCode::Refused;
  }
  const std::string member = whole ? "\"document\":" : "\"set\":";
  return submit({member + document.toJson(), options});
}

ExitCode OperatorClient::set(const std::string& path, const std::string& json,
                             const ChangeOptions& options) {
  std::vector<Fault> faults;
  const std::optional<JsonValue> value = configuration::parseJson(json, {}, path, faults);
  if (!value) {
    errors_ << "the value is not JSON\n";
    writeFaults(faults, errors_);
    return ExitCode::Refused;
  }
  JsonWriter writer;
  writer.beginObject().name("set").beginObject();
  writer.name(path).raw(value->canonical());
  writer.endObject().endObject();
  return submit({membersOf(writer), options});
}

ExitCode OperatorClient::remove(const std::string& path, const ChangeOptions& options) {
  JsonWriter writer;
  writer.beginObject().name("remove").beginArray().string(path).endArray().endObject();
  return submit({membersOf(writer), options});
}

ExitCode OperatorClient::show(const std::string& target) {
  return report(endpoint_.call({"GET", target, ""}), "");
}

ExitCode OperatorClient::showRouting(const std::string& model) {
  return show(model.empty() ? "/v1/routing" : "/v1/routing?model=" + escapeForUrl(model));
}

ExitCode OperatorClient::get() {
  const ControlOutcome outcome = endpoint_.call({"GET", "/v1/configuration", ""});
  const std::optional<JsonValue> body = parseBody(outcome.body);
  const JsonValue* document = body ? body->find("document") : nullptr;
  if (json_ || outcome.status != StatusOk || document == nullptr) {
    return report(outcome, "");
  }
  out_ << "// version " << body->integerOf("version") << ", digest " << body->textOf("digest")
       << "\n{";
  for (std::size_t index = 0; index < document->names.size(); ++index) {
    out_ << (index == 0 ? "\n  " : ",\n  ") << configuration::jsonString(document->names[index])
         << ": " << document->elements[index].canonical();
  }
  out_ << "\n}\n";
  return ExitCode::Done;
}

ExitCode OperatorClient::order(const std::string& target, const std::string& change_id) {
  const std::string id = changeIdOr(change_id);
  JsonWriter writer;
  writer.beginObject().name("change_id").string(id).endObject();
  return report(endpoint_.call({"POST", target, writer.text(), true}), resendHint(id));
}

ExitCode OperatorClient::endOrder(const std::string& target, const std::string& change_id) {
  const std::string id = changeIdOr(change_id);
  const std::string whole = target + "?change_id=" + escapeForUrl(id);
  return report(endpoint_.call({"DELETE", whole, "", true}), resendHint(id));
}

ExitCode OperatorClient::evacuate(const std::string& zone, const std::string& change_id) {
  return order("/v1/zones/" + escapeForUrl(zone) + "/evacuation", change_id);
}

ExitCode OperatorClient::restore(const std::string& zone, const std::string& change_id) {
  return endOrder("/v1/zones/" + escapeForUrl(zone) + "/evacuation", change_id);
}

ExitCode OperatorClient::showWorkerHealth(const std::string& worker) {
  return show("/v1/health/workers/" + escapeForUrl(worker));
}

ExitCode OperatorClient::maintainNext(const std::string& change_id) {
  return order("/v1/maintenance/next", change_id);
}

ExitCode OperatorClient::startMaintenance(const std::string& worker, const std::string& change_id) {
  return order("/v1/maintenance/workers/" + escapeForUrl(worker), change_id);
}

ExitCode OperatorClient::finishMaintenance(const std::string& worker,
                                           const std::string& change_id) {
  return endOrder("/v1/maintenance/workers/" + escapeForUrl(worker), change_id);
}

ExitCode OperatorClient::addKey(const KeyOptions& options) {
  const std::string id = changeIdOr(options.change_id);
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
  return report(endpoint_.call({"POST", "/v1/keys", writer.text(), true}), resendHint(id));
}

ExitCode OperatorClient::revokeKey(const std::string& id, const std::string& change_id) {
  return endOrder("/v1/keys/" + escapeForUrl(id), change_id);
}

std::optional<configuration::StateReport> OperatorClient::fetchState(
    const base::NodeAddress& address) {
  const ControlOutcome outcome = endpoint_.callAt(address, {"GET", "/v1/beliefs", ""});
  if (outcome.status != StatusOk) {
    reportFailure(outcome, "");
    return std::nullopt;
  }
  std::vector<Fault> faults;
  std::optional<configuration::StateReport> report =
      configuration::parseStateReport(outcome.body, faults);
  if (!report) {
    errors_ << address.toString() << " sent no report of beliefs\n";
    writeFaults(faults, errors_);
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
  // Asking again for a replacement already made answers the same.
  const ExitCode code =
      report(endpoint_.call({"POST", "/v1/core/replacements", writer.text(), true}), "ask again");
  if (code == ExitCode::Done && !json_) {
    out_ << old_member.toString() << " is replaced by " << new_member.toString() << "\n";
  }
  return code;
}

}  // namespace switchsaddle::operator_client
