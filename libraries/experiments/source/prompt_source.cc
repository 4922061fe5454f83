#include "prompt_source.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::experiments {

namespace {

constexpr std::uint64_t Tenants = 5;
constexpr std::uint64_t VariantsPerFamily = 4;
constexpr std::uint32_t TenantSegmentTokens = 600;
constexpr std::uint32_t FamilySegmentTokens = 3'000;
constexpr std::uint32_t VariantSegmentTokens = 800;
constexpr std::uint32_t MinOwnTokens = 50;
constexpr std::uint32_t OwnTokensRange = 250;
constexpr std::uint32_t MinOutputTokens = 20;
constexpr std::uint32_t OutputTokensRange = 160;

}  // namespace

PromptSource::PromptSource(const FleetSettings& settings, base::RandomSource& random)
    : settings_(settings), random_(random) {
  const std::size_t families =
      std::max<std::size_t>(1, settings.families_per_worker * settings.workers / settings.models);
  double total = 0;
  for (std::size_t rank = 1; rank <= families; ++rank) {
    total += 1.0 / std::pow(static_cast<double>(rank), settings.zipf_exponent);
    cumulative_weights_.push_back(total);
  }
}

std::size_t PromptSource::drawFamily() {
  const double point = random_.uniform() * cumulative_weights_.back();
  const auto found =
      std::upper_bound(cumulative_weights_.begin(), cumulative_weights_.end(), point);
  return static_cast<std::size_t>(found - cumulative_weights_.begin());
}

ModelledPrompt PromptSource::next() {
  const std::uint64_t model = settings_.models > 1 ? random_.below(settings_.models) : 0;
  const std::size_t family = drawFamily();
  const std::string family_name = std::to_string(model) + "-" + std::to_string(family);
  const std::uint64_t variant = random_.below(VariantsPerFamily);
  ModelledPrompt drawn;
  drawn.prompt.model = "model-" + std::to_string(model);
  drawn.prompt.prefix_segments = {
      {"tenant-" + std::to_string(family % Tenants), TenantSegmentTokens},
      {"family-" + family_name, FamilySegmentTokens},
      {"variant-" + family_name + "-" + std::to_string(variant), VariantSegmentTokens}};
  for (const routing::PrefixSegment& segment : drawn.prompt.prefix_segments) {
    drawn.prefix_tokens += segment.tokens;
    drawn.segments.push_back(testbed::PrefixSegment{segment.id, segment.tokens});
  }
  const auto own_tokens = static_cast<std::uint32_t>(random_.below(OwnTokensRange));
  drawn.prompt.prompt_tokens = drawn.prefix_tokens + MinOwnTokens + own_tokens;
  drawn.output_tokens =
      MinOutputTokens + static_cast<std::uint32_t>(random_.below(OutputTokensRange));
  drawn.prompt.maximum_tokens = drawn.output_tokens;
  return drawn;
}

base::Duration PromptSource::nextGap() {
  const double gap_s = -std::log(1.0 - random_.uniform()) / settings_.streams_per_s;
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(gap_s));
}

}  // namespace switchsaddle::experiments
