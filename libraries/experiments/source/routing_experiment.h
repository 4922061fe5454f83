#pragma once

#include "switchsaddle/experiments/experiment.h"

namespace switchsaddle::experiments {

/** Compares placement policies on one simulated fleet; run by `switchsaddle-testbed experiment
 * routing`. */
class RoutingExperiment : public Experiment {
 public:
  std::string name() const override { return "routing"; }
  std::vector<Setting> defaults() const override;
  std::string plottedMeasure() const override { return "first_token_p95_ms"; }
  std::vector<Measure> run(const Settings& settings, std::uint64_t seed) const override;
};

}  // namespace switchsaddle::experiments
