#include "switchsaddle/routing/work_lanes.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace switchsaddle::routing {

namespace {

constexpr base::Duration DivideInterval = std::chrono::seconds(1);
/** A kind is removed when its decayed number of prompts falls below this. */
constexpr double MinimumRetainedPrompts = 0.05;
/** The long lane's share is adjusted only if its target differs by more than this. */
constexpr double MinimumAdjustment = 0.06;

}  // namespace

double WorkLanes::Kind::work() const {
  // Until a prompt of the kind is placed, its prefill is unknown.
  return prefill_tokens > 0 ? prefill_tokens : tokens;
}

void WorkLanes::add(std::uint64_t kind, std::uint32_t prompt_tokens, base::TimePoint now) {
  Kind& known = own_kinds_[kind];
  known.prompts += 1;
  known.tokens += prompt_tokens;
  if (now - decayed_at_ >= DivideInterval) {
    decay(now);
    const bool fleet_known = now - fleet_reported_at_ < FleetLifetime && !fleet_kinds_.empty();
    active_kinds_ = fleet_known ? &fleet_kinds_ : &own_kinds_;
    divide();
  }
}

void WorkLanes::addPrefill(std::uint64_t kind, std::uint32_t tokens) {
  const auto known = own_kinds_.find(kind);
  if (known != own_kinds_.end()) {
    known->second.prefill_tokens += tokens;
  }
}

std::vector<wire::WorkKindCounts> WorkLanes::counts() const {
  std::vector<wire::WorkKindCounts> counts;
  for (const auto& [id, kind] : own_kinds_) {
    counts.push_back({id, static_cast<float>(kind.prompts), static_cast<float>(kind.tokens),
                      static_cast<float>(kind.prefill_tokens)});
  }
  return counts;
}

void WorkLanes::setFleetCounts(const std::vector<wire::WorkKindCounts>& counts,
                               base::TimePoint now) {
  fleet_reported_at_ = now;
  fleet_kinds_.clear();
  for (const wire::WorkKindCounts& work : counts) {
    fleet_kinds_[work.kind] = {work.prompts, work.prompt_tokens, work.prefilled_tokens};
  }
}

void WorkLanes::decay(base::TimePoint now) {
  const double retained = std::exp2(-std::chrono::duration<double>(now - decayed_at_) / HalfLife);
  decayed_at_ = now;
  for (auto& [id, kind] : own_kinds_) {
    kind.prompts *= retained;
    kind.tokens *= retained;
    kind.prefill_tokens *= retained;
  }
  std::erase_if(own_kinds_,
                [](const auto& item) { return item.second.prompts < MinimumRetainedPrompts; });
}

void WorkLanes::divide() {
  const std::vector<Kind> kinds = kindsByLength();
  double largest_ratio = 0;
  std::size_t first_long = 0;
  double total_work = 0;
  for (std::size_t index = 0; index < kinds.size(); ++index) {
    total_work += kinds[index].work();
    const double ratio = index == 0 ? 0 : kinds[index].mean() / kinds[index - 1].mean();
    if (ratio > largest_ratio) {
      largest_ratio = ratio;
      first_long = index;
    }
  }
  is_divided_ = largest_ratio >= MinimumLengthRatio;
  if (!is_divided_) {
    return;
  }
  minimum_long_tokens_ = std::sqrt(kinds[first_long].mean() * kinds[first_long - 1].mean());
  double long_work = 0;
  for (std::size_t index = first_long; index < kinds.size(); ++index) {
    long_work += kinds[index].work();
  }
  adjustLongShare(std::clamp(long_work / total_work, MinimumLongShare, MaximumLongShare));
}

std::vector<WorkLanes::Kind> WorkLanes::kindsByLength() const {
  std::vector<Kind> kinds;
  for (const auto& [id, kind] : *active_kinds_) {
    if (kind.prompts >= MinimumPrompts && kind.tokens > 0) {
      kinds.push_back(kind);
    }
  }
  std::ranges::sort(kinds, {}, &Kind::mean);
  return kinds;
}

void WorkLanes::adjustLongShare(double target) {
  if (std::abs(target - long_share_) > MinimumAdjustment) {
    long_share_ = std::round(target / ShareStep) * ShareStep;
  }
}

double WorkLanes::meanTokens(std::uint64_t kind) const {
  const auto known = active_kinds_->find(kind);
  return known == active_kinds_->end() ? 0 : known->second.mean();
}

bool WorkLanes::isLong(std::uint64_t kind) const {
  const auto known = active_kinds_->find(kind);
  return is_divided_ && known != active_kinds_->end() &&
         known->second.tokens >= minimum_long_tokens_ * known->second.prompts;
}

std::size_t WorkLanes::shortWorkers(std::size_t workers) const {
  if (!is_divided_ || workers < MinimumWorkers) {
    return workers;
  }
  const auto long_workers =
      static_cast<std::size_t>(std::lround(static_cast<double>(workers) * long_share_));
  return workers - std::clamp<std::size_t>(long_workers, 1, workers - 1);
}

}  // namespace switchsaddle::routing
