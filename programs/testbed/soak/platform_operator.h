#pragma once

#include <optional>
#include <string>

#include "soak/configuration_operator.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::testbed_commands {

/**
 * An operator that speaks the operator's API of the users' platform: replaces and patches the
 * configuration, grows it by many routes, sends invalid ones, evacuates and reads. Gives a node up
 * after a second and resends the same order to another one.
 */
class PlatformOperator : public ConfigurationOperator {
 public:
  explicit PlatformOperator(OperatorContext context);

  void operate(base::RandomSource& random) override;
  void read(base::RandomSource& random) override;

 private:
  /** How an order ended. */
  enum class OrderEnd : std::uint8_t { Acknowledged, Refused, Unknown };

  void change(base::RandomSource& random);
  void sendInvalid(base::RandomSource& random);
  void evacuate(base::RandomSource& random);
  /** Draws an order that makes `version` of the known one. */
  http::Request drawChange(base::RandomSource& random, std::uint64_t version);
  http::Request drawPatch(base::RandomSource& random, std::uint64_t version);
  OrderEnd sendOrder(base::RandomSource& random, const http::Request& request,
                     base::Duration limit);
  void end(testbed::ControlOperation operation, testbed::ControlOutcome outcome,
           std::uint64_t version);

  OperatorContext context_;
  std::string name_;
  std::uint64_t known_version_ = 1;
  bool has_further_routes_ = false;
  int operations_ = 0;
};

}  // namespace switchsaddle::testbed_commands
