#include "change_submitter.h"

#include "response_body.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::operator_client {

using configuration::JsonValue;
using configuration::JsonWriter;

std::string makeChangeId() {
  base::RandomSource high = base::RandomSource::fromSystem();
  base::RandomSource low = base::RandomSource::fromSystem();
  return "ctl-" + configuration::digestText(high.next()) + configuration::digestText(low.next());
}

std::string changeIdOrNew(const std::string& change_id) {
  return change_id.empty() ? makeChangeId() : change_id;
}

std::string retryHint(const std::string& change_id) {
  return "run the command again with --change-id " + change_id;
}

ChangeSubmitter::ChangeSubmitter(ControlEndpoint& endpoint, OutcomeReporter& reporter)
    : endpoint_(endpoint), reporter_(reporter) {}

ExitCode ChangeSubmitter::submit(const std::string& members, const ChangeOptions& options) {
  const std::optional<std::uint64_t> base_version = findBaseVersion(options);
  if (!base_version) {
    return ExitCode::Refused;
  }
  const std::string change_id = changeIdOrNew(options.change_id);
  ControlCall call;
  call.method = "POST";
  call.target = "/v1/configuration/changes";
  call.target += options.dry_run ? "?dry_run=true" : "";
  call.body = "{\"change_id\":" + configuration::jsonString(change_id) +
              ",\"base_version\":" + std::to_string(*base_version) + "," + members + "}";
  call.awaits_force = !options.dry_run;
  const std::string hint =
      retryHint(change_id) + " --base-version " + std::to_string(*base_version);
  return reporter_.report(endpoint_.call(call), options.dry_run ? "" : hint);
}

std::optional<std::uint64_t> ChangeSubmitter::findBaseVersion(const ChangeOptions& options) {
  if (options.base_version) {
    return options.base_version;
  }
  if (!options.change_id.empty()) {
    // A repeated change is recognised as the same change only with its original base version.
    if (const auto base_version = baseFromHistory(options.change_id)) {
      return base_version;
    }
  }
  const ControlOutcome outcome = endpoint_.call({"GET", "/v1/configuration", ""});
  const std::optional<JsonValue> body = parseBody(outcome.body);
  if (outcome.status != StatusOk || !body || body->find("version") == nullptr) {
    reporter_.reportFailure(outcome, "");
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(body->integerOf("version"));
}

std::optional<std::uint64_t> ChangeSubmitter::baseFromHistory(const std::string& change_id) {
  const ControlOutcome outcome = endpoint_.call({"GET", "/v1/configuration/history", ""});
  const std::optional<JsonValue> body = parseBody(outcome.body);
  const JsonValue* changes = body ? body->find("changes") : nullptr;
  if (changes == nullptr) {
    return std::nullopt;
  }
  for (const JsonValue& change : changes->elements) {
    if (change.textOf("change_id") == change_id) {
      return static_cast<std::uint64_t>(change.integerOf("version")) - 1;
    }
  }
  return std::nullopt;
}

}  // namespace switchsaddle::operator_client
