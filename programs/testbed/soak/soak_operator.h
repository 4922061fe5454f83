#pragma once

#include <optional>
#include <string>

#include "soak/configuration_operator.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::testbed_commands {

/**
 * An operator that speaks the product's control API. Gives a node up after a second and resends to
 * another one, and records what it asked for and was told.
 */
class SoakOperator : public ConfigurationOperator {
 public:
  explicit SoakOperator(OperatorContext context);

  void operate(base::RandomSource& random) override;
  void read(base::RandomSource& random) override;

 private:
  /** Makes one change on the version that it knows; a conflict tells it the version in force. */
  void change(base::RandomSource& random);
  /** Begins or ends the evacuation of a zone without workers. Each resend has an identifier of its
   * own, as if the operator could not name its order. */
  void evacuate(base::RandomSource& random);
  testbed::ControlOperation begin(testbed::ControlOperationKind kind);
  void end(testbed::ControlOperation operation, testbed::ControlOutcome outcome,
           std::uint64_t version);
  /** Sends the request to a random node. @return its answer, if there was one within a second. */
  std::optional<http::Response> send(base::RandomSource& random, http::Request request) const;

  OperatorContext context_;
  std::string name_;
  std::uint64_t known_version_ = 1;
  int operations_ = 0;
};

}  // namespace switchsaddle::testbed_commands
