#include "switchsaddle/routing/work_lanes.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace switchsaddle::routing {

namespace {

constexpr base::Duration DivideInterval = std::chrono::seconds(1);
/** A kind with less than this left of a prompt is forgotten. */
constexpr double ForgottenBelow = 0.05;
/** The division moves only where the work asks for a part that differs by more than this. */
constexpr double LeastMove = 0.08;

}  // namespace

void WorkLanes::add(std::uint64_t kind, std::uint32_t prompt_tokens, base::TimePoint now) {
  Kind& known = kinds_[kind];
  known.prompts += 1;
  known.tokens += prompt_tokens;
  if (now - decayed_at_ >= DivideInterval) {
    decay(now);
    divide();
  }
}

void WorkLanes::decay(base::TimePoint now) {
  const double kept = std::exp2(-std::chrono::duration<double>(now - decayed_at_) / HalfLife);
  decayed_at_ = now;
  for (auto& [name, kind] : kinds_) {
    kind.prompts *= kept;
    kind.tokens *= kept;
  }
  std::erase_if(kinds_, [](const auto& item) { return item.second.prompts < ForgottenBelow; });
}

void WorkLanes::divide() {
  std::vector<Kind> known;
  for (const auto& [name, kind] : kinds_) {
    if (kind.prompts >= FewestPrompts && kind.tokens > 0) {
      known.push_back(kind);
    }
  }
  const auto mean = [](const Kind& kind) { return kind.tokens / kind.prompts; };
  std::sort(known.begin(), known.end(),
            [&mean](const Kind& first, const Kind& second) { return mean(first) < mean(second); });
  double widest = 0;
  std::size_t cut = 0;
  double total = 0;
  for (std::size_t index = 0; index < known.size(); ++index) {
    total += known[index].tokens;
    const double ratio = index == 0 ? 0 : mean(known[index]) / mean(known[index - 1]);
    if (ratio > widest) {
      widest = ratio;
      cut = index;
    }
  }
  divided_ = widest >= LeastRatio;
  if (!divided_) {
    return;
  }
  long_from_ = std::sqrt(mean(known[cut]) * mean(known[cut - 1]));
  double long_tokens = 0;
  for (std::size_t index = cut; index < known.size(); ++index) {
    long_tokens += known[index].tokens;
  }
  const double wanted = std::clamp(long_tokens / total, LeastPart, LargestPart);
  if (std::abs(wanted - long_part_) > LeastMove) {
    long_part_ = wanted;
  }
}

double WorkLanes::meanTokens(std::uint64_t kind) const {
  const auto known = kinds_.find(kind);
  return known == kinds_.end() ? 0 : known->second.tokens / known->second.prompts;
}

bool WorkLanes::isLong(std::uint64_t kind) const {
  const auto known = kinds_.find(kind);
  return divided_ && known != kinds_.end() &&
         known->second.tokens >= long_from_ * known->second.prompts;
}

std::size_t WorkLanes::shortWorkers(std::size_t workers) const {
  if (!divided_ || workers < FewestWorkers) {
    return workers;
  }
  const auto long_workers =
      static_cast<std::size_t>(std::lround(static_cast<double>(workers) * long_part_));
  return workers - std::clamp<std::size_t>(long_workers, 1, workers - 1);
}

}  // namespace switchsaddle::routing
