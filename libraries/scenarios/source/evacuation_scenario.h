#pragma once

#include <string>
#include <utility>

#include "explored_fleet.h"
#include "switchsaddle/exploration/explorer.h"

namespace switchsaddle::scenarios {

/** See evacuationScenario(). */
class EvacuationScenario : public exploration::Scenario {
 public:
  EvacuationScenario(std::string name, core::CoreFaults faults)
      : name_(std::move(name)), faults_(faults) {}

  std::string name() const override { return name_; }
  exploration::RunReport run(const exploration::Schedule& schedule, bool keep_trace) const override;

 private:
  std::string name_;
  core::CoreFaults faults_;
};

}  // namespace switchsaddle::scenarios
