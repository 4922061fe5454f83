#pragma once

#include <vector>

#include "fleet_settings.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/testbed/workers/kv_cache.h"

namespace switchsaddle::experiments {

/** One caller's prompt, and how many tokens its answer will have. */
struct ModelledPrompt {
  routing::Prompt prompt;
  std::vector<testbed::PrefixSegment> parts;
  std::uint32_t prefix_tokens = 0;
  std::uint32_t output_tokens = 0;
};

/**
 * Draws prompts: models equally often, families of prefixes within a model by a Zipf law; each
 * prefix a chain of the tenant's part, the family's and one of a few variants, followed by tokens
 * of its own.
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
  /** Cumulated weight of each family. */
  std::vector<double> cumulated_;
};

}  // namespace switchsaddle::experiments
