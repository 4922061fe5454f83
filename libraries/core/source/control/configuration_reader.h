#pragma once

#include <functional>

#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/core/control/control_service.h"

namespace switchsaddle::core {

/** Reads of the configuration register, confirmed by a quorum. Runs on the control strand. */
class ConfigurationReader {
 public:
  using Respond = ControlService::Respond;
  using ValueHandler =
      std::function<void(const configuration::RegisterValue& value, const Respond& respond)>;

  /** @param dependencies outlive the reader. */
  explicit ConfigurationReader(const ControlDependencies& dependencies)
      : dependencies_(dependencies) {}

  /** Reads the register and passes its value to the handler, or responds with the failure. */
  void read(ValueHandler handler, Respond respond) const;
  /** Reads the source document; it is empty if the result code is not Ok. */
  void readSource(ControlService::SourceReader reader) const;

 private:
  const ControlDependencies& dependencies_;
};

}  // namespace switchsaddle::core
