#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "switchsaddle/command_line/exit_code.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/operator_client/control_endpoint.h"

namespace switchsaddle::operator_client {

using command_line::ExitCode;

/**
 * Writes the outcomes of control requests, as tables or as JSON, and derives the exit codes. Not
 * thread-safe.
 */
class OutcomeReporter {
 public:
  /** @param json write response bodies as received. */
  OutcomeReporter(bool json, std::ostream& out, std::ostream& errors);

  /**
   * Writes any outcome.
   * @param retry_hint how to repeat the request; empty if it changes nothing.
   */
  ExitCode report(const ControlOutcome& outcome, const std::string& retry_hint);
  /** Writes an outcome that is not a success; see report(). */
  ExitCode reportFailure(const ControlOutcome& outcome, const std::string& retry_hint);
  /** Writes a message and the faults of the operator's input, or of an invalid response. */
  void reportFaults(const std::string& message, const std::vector<configuration::Fault>& faults);

 private:
  ExitCode reportUnanswered(const std::string& retry_hint);

  bool json_;
  std::ostream& out_;
  std::ostream& errors_;
};

}  // namespace switchsaddle::operator_client
