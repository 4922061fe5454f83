#pragma once

#include <map>
#include <optional>
#include <string>

#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::claims {

/** Registers in memory, with an outage that the test controls. */
class MemoryProposer : public registers::RegisterProposer {
 public:
  /** Whether changes fail, and if so, before or after they are applied. */
  enum class Outage { None, BeforeChange, AfterChange };

  void change(const std::string& key, registers::ChangeFunction function,
              registers::RegisterCallback callback) override {
    registers::RegisterOutcome outcome;
    if (outage != Outage::BeforeChange) {
      const std::optional<std::string> changed = function(values[key]);
      values[key] = changed.value_or(values[key]);
      outcome.changed = changed.has_value();
    }
    if (outage == Outage::None) {
      outcome.code = base::ResultCode::Ok;
      outcome.value = values[key];
    }
    callback(outcome);
  }
  void read(const std::string& key, registers::RegisterCallback callback) override {
    change(
        key, [](const std::string&) { return std::nullopt; }, std::move(callback));
  }

  Outage outage = Outage::None;
  std::map<std::string, std::string> values;
};

}  // namespace switchsaddle::claims
