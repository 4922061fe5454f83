#include "switchsaddle/experiments/experiment.h"

#include <algorithm>

#include "routing_experiment.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::experiments {

namespace {

template <class Values>
auto& findSetting(Values& values, const std::string& name) {
  const auto found = std::find_if(values.begin(), values.end(),
                                  [&name](const Setting& one) { return one.name == name; });
  if (found == values.end()) {
    throw base::Error(base::ResultCode::InvalidValue, "unknown parameter: " + name);
  }
  return *found;
}

}  // namespace

const std::string& Settings::text(const std::string& name) const {
  return findSetting(values_, name).value;
}

double Settings::number(const std::string& name) const {
  const std::string& value = text(name);
  try {
    std::size_t used = 0;
    const double parsed = std::stod(value, &used);
    if (used == value.size()) {
      return parsed;
    }
  } catch (const std::exception&) {
    // The error below reports the parameter's name and value.
  }
  throw base::Error(base::ResultCode::InvalidValue, name + " must be a number but is: " + value);
}

void Settings::set(const std::string& name, const std::string& value) {
  findSetting(values_, name).value = value;
}

std::vector<std::unique_ptr<Experiment>> allExperiments() {
  std::vector<std::unique_ptr<Experiment>> experiments;
  experiments.push_back(std::make_unique<RoutingExperiment>());
  return experiments;
}

}  // namespace switchsaddle::experiments
