#pragma once

#include <vector>

#include "fleet_settings.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/testbed/workers/kv_cache.h"

namespace switchsaddle::experiments {

/** One caller's prompt and the number of tokens of its answer. */
struct ModelledPrompt {
  routing::Prompt prompt;
  std::vector<testbed::PrefixSegment> segments;
  std::uint32_t prefix_tokens = 0;
  std::uint32_t output_tokens = 0;
};

/**
 * Draws random prompts. Models are equally likely; the families of prefixes within a model follow a
 * Zipf distribution. Each prefix is a chain of a tenant segment, a family segment and one of a few
 * variant segments; tokens that no other prompt shares follow it.
 */
class PromptSource {
 public:
  PromptSource(const FleetSettings& settings, base::RandomSource& random);
  ModelledPrompt next();
  /** Time until the next arrival of the Poisson process. */
  base::Duration nextGap();

 private:
  std::size_t drawFamily();

  const FleetSettings& settings_;
  base::RandomSource& random_;
  /** Cumulative weight of each family. */
  std::vector<double> cumulative_weights_;
};

}  // namespace switchsaddle::experiments
