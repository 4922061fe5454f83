#include "outcome_reporter.h"

#include <ostream>

#include "response_body.h"
#include "switchsaddle/operator_client/tables.h"

namespace switchsaddle::operator_client {

namespace {

using configuration::Fault;
using configuration::JsonValue;

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

}  // namespace

OutcomeReporter::OutcomeReporter(bool json, std::ostream& out, std::ostream& errors)
    : json_(json), out_(out), errors_(errors) {}

ExitCode OutcomeReporter::report(const ControlOutcome& outcome, const std::string& retry_hint) {
  const bool is_success = outcome.status == StatusOk || outcome.status == StatusAccepted;
  if (json_ && outcome.is_answered) {
    out_ << outcome.body << "\n";
  }
  if (!is_success) {
    return reportFailure(outcome, retry_hint);
  }
  const std::optional<JsonValue> body = parseBody(outcome.body);
  if (!json_) {
    out_ << (body ? renderBody(*body) : outcome.body);
  }
  if (outcome.status == StatusAccepted) {
    errors_ << "the change is committed, but not yet in force on every front; to wait for it, "
            << retry_hint << "\n";
    return ExitCode::NotYetInForce;
  }
  return ExitCode::Done;
}

ExitCode OutcomeReporter::reportFailure(const ControlOutcome& outcome,
                                        const std::string& retry_hint) {
  if (!outcome.is_answered) {
    return reportUnanswered(retry_hint);
  }
  const std::optional<JsonValue> body = parseBody(outcome.body);
  const JsonValue* error = body ? body->find("error") : nullptr;
  errors_ << outcome.address.toString() << " responded with HTTP status " << outcome.status << "\n";
  if (error != nullptr) {
    writeErrorBody(*error, errors_);
  }
  if (body && body->find("version") != nullptr) {
    errors_ << "the version in force is " << body->integerOf("version") << "\n";
  }
  if (outcome.status >= FirstServerError && !retry_hint.empty()) {
    errors_ << "the change may have been committed; to find out, " << retry_hint << "\n";
    return ExitCode::Unknown;
  }
  return ExitCode::Refused;
}

ExitCode OutcomeReporter::reportUnanswered(const std::string& retry_hint) {
  errors_ << "no node responded";
  if (!retry_hint.empty()) {
    errors_ << "; the change may have been committed; to find out, " << retry_hint;
  }
  errors_ << "\n";
  return ExitCode::Unknown;
}

void OutcomeReporter::reportFaults(const std::string& message, const std::vector<Fault>& faults) {
  errors_ << message << "\n";
  for (const Fault& fault : faults) {
    errors_ << "  " << (fault.path.empty() ? "(whole)" : fault.path) << ": "
            << static_cast<int>(fault.code) << " " << base::describe(fault.code).name << ": "
            << fault.message << "\n";
  }
}

}  // namespace switchsaddle::operator_client
