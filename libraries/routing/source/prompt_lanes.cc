#include "switchsaddle/routing/prompt_lanes.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::routing {

namespace {

constexpr base::Duration DecayInterval = std::chrono::seconds(1);

}  // namespace

std::size_t PromptLanes::lanesFor(std::size_t workers) {
  return std::clamp<std::size_t>(workers / WorkersEach, 1, MostLanes);
}

std::size_t PromptLanes::laneOfRank(std::size_t rank, std::size_t workers) {
  return workers == 0 ? 0 : rank * lanesFor(workers) / workers;
}

std::size_t PromptLanes::binOf(std::uint32_t prompt_tokens) {
  const double exponent = std::log2(std::max(1.0, static_cast<double>(prompt_tokens)));
  return std::min(Bins - 1, static_cast<std::size_t>(exponent * BinsEach));
}

void PromptLanes::decay(base::TimePoint now) {
  const base::Duration passed = now - decayed_at_;
  if (passed < DecayInterval) {
    return;
  }
  decayed_at_ = now;
  const double kept = std::exp2(-std::chrono::duration<double>(passed) / HalfLife);
  for (double& tokens : tokens_) {
    tokens *= kept;
  }
  total_ *= kept;
  prompts_ *= kept;
}

void PromptLanes::add(std::uint32_t prompt_tokens, base::TimePoint now) {
  decay(now);
  tokens_[binOf(prompt_tokens)] += prompt_tokens;
  total_ += prompt_tokens;
  prompts_ += 1;
}

std::size_t PromptLanes::laneOf(std::uint32_t prompt_tokens, std::size_t lanes) const {
  const std::size_t bin = binOf(prompt_tokens);
  double below = 0;
  for (std::size_t index = 0; index < bin; ++index) {
    below += tokens_[index];
  }
  // Where the middle of the prompt's own bin stands among all tokens.
  const double position = total_ > 0 ? (below + tokens_[bin] / 2) / total_ : 0;
  return std::min(lanes - 1, static_cast<std::size_t>(position * static_cast<double>(lanes)));
}

}  // namespace switchsaddle::routing
