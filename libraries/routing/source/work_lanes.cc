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
constexpr double LeastMove = 0.06;

}  // namespace

void WorkLanes::add(std::uint64_t kind, std::uint32_t prompt_tokens, base::TimePoint now) {
  Kind& known = kinds_[kind];
  known.prompts += 1;
  known.tokens += prompt_tokens;
  if (now - decayed_at_ >= DivideInterval) {
    decay(now);
    followed_ = now - fleet_at_ < FleetLifetime && !fleet_.empty() ? &fleet_ : &kinds_;
    divide();
  }
}

void WorkLanes::addRead(std::uint64_t kind, std::uint32_t tokens) {
  const auto known = kinds_.find(kind);
  if (known != kinds_.end()) {
    known->second.read += tokens;
  }
}

std::vector<wire::WorkKindCounts> WorkLanes::kinds() const {
  std::vector<wire::WorkKindCounts> kinds;
  for (const auto& [name, kind] : kinds_) {
    kinds.push_back({name, static_cast<float>(kind.prompts), static_cast<float>(kind.tokens),
                     static_cast<float>(kind.read)});
  }
  return kinds;
}

void WorkLanes::setFleet(const std::vector<wire::WorkKindCounts>& kinds, base::TimePoint now) {
  fleet_at_ = now;
  fleet_.clear();
  for (const wire::WorkKindCounts& work : kinds) {
    fleet_[work.kind] = {work.prompts, work.prompt_tokens, work.read_tokens};
  }
}

void WorkLanes::decay(base::TimePoint now) {
  const double kept = std::exp2(-std::chrono::duration<double>(now - decayed_at_) / HalfLife);
  decayed_at_ = now;
  for (auto& [name, kind] : kinds_) {
    kind.prompts *= kept;
    kind.tokens *= kept;
    kind.read *= kept;
  }
  std::erase_if(kinds_, [](const auto& item) { return item.second.prompts < ForgottenBelow; });
}

void WorkLanes::divide() {
  std::vector<Kind> known;
  for (const auto& [name, kind] : *followed_) {
    if (kind.prompts >= FewestPrompts && kind.tokens > 0) {
      known.push_back(kind);
    }
  }
  std::ranges::sort(known, {}, &Kind::mean);
  double widest = 0;
  std::size_t cut = 0;
  double total = 0;
  for (std::size_t index = 0; index < known.size(); ++index) {
    total += workOf(known[index]);
    const double ratio = index == 0 ? 0 : known[index].mean() / known[index - 1].mean();
    if (ratio > widest) {
      widest = ratio;
      cut = index;
    }
  }
  divided_ = widest >= LeastRatio;
  if (!divided_) {
    return;
  }
  long_from_ = std::sqrt(known[cut].mean() * known[cut - 1].mean());
  double long_work = 0;
  for (std::size_t index = cut; index < known.size(); ++index) {
    long_work += workOf(known[index]);
  }
  adjustLongShare(std::clamp(long_work / total, MinimumLongShare, MaximumLongShare));
}

double WorkLanes::workOf(const Kind& kind) {
  // Before anything was placed nothing is known to be read.
  return kind.read > 0 ? kind.read : kind.tokens;
}

void WorkLanes::adjustLongShare(double wanted) {
  if (std::abs(wanted - long_share_) > LeastMove) {
    long_share_ = std::round(wanted / ShareStep) * ShareStep;
  }
}

double WorkLanes::meanTokens(std::uint64_t kind) const {
  const auto known = followed_->find(kind);
  return known == followed_->end() ? 0 : known->second.mean();
}

bool WorkLanes::isLong(std::uint64_t kind) const {
  const auto known = followed_->find(kind);
  return divided_ && known != followed_->end() &&
         known->second.tokens >= long_from_ * known->second.prompts;
}

std::size_t WorkLanes::shortWorkers(std::size_t workers) const {
  if (!divided_ || workers < FewestWorkers) {
    return workers;
  }
  const auto long_workers =
      static_cast<std::size_t>(std::lround(static_cast<double>(workers) * long_share_));
  return workers - std::clamp<std::size_t>(long_workers, 1, workers - 1);
}

}  // namespace switchsaddle::routing
