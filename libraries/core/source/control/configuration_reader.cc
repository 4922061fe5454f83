#include "control/configuration_reader.h"

#include <utility>

#include "control/control_requests.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::core {

using base::ResultCode;

void ConfigurationReader::read(ValueHandler handler, Respond respond) const {
  if (dependencies_.read_unconfirmed) {
    configuration::RegisterValue value;
    value.document = dependencies_.replica.document();
    handler(value, respond);
    return;
  }
  const auto on_read = [handler = std::move(handler),
                        respond = std::move(respond)](const registers::RegisterOutcome& outcome) {
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
    handler(value, respond);
  };
  dependencies_.proposer.read(registers::ConfigurationRegister, on_read);
}

void ConfigurationReader::readSource(ControlService::SourceReader reader) const {
  const auto on_read = [reader = std::move(reader)](const registers::RegisterOutcome& outcome) {
    if (outcome.code != ResultCode::Ok) {
      reader(outcome.code, {});
      return;
    }
    try {
      reader(ResultCode::Ok, configuration::decodeRegisterValue(outcome.value).source);
    } catch (const base::Error& error) {
      reader(error.code(), {});
    }
  };
  dependencies_.proposer.read(registers::ConfigurationRegister, on_read);
}

}  // namespace switchsaddle::core
