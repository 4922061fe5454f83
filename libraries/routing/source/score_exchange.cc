#include "switchsaddle/routing/score_exchange.h"

#include <algorithm>
#include <iterator>

namespace switchsaddle::routing {

std::vector<wire::RouteScore> ScoreExchange::exportScores() const {
  std::vector<FreshArm> fresh = freshArms();
  const std::size_t exported = std::min(fresh.size(), MaximumScores);
  const auto end_of_exported = fresh.begin() + static_cast<std::ptrdiff_t>(exported);
  std::partial_sort(fresh.begin(), end_of_exported, fresh.end(), hasPriority);
  std::vector<wire::RouteScore> scores;
  scores.reserve(exported);
  std::transform(fresh.begin(), end_of_exported, std::back_inserter(scores),
                 [this](const FreshArm& entry) { return scoreOf(*entry.pool, *entry.arm); });
  return scores;
}

std::vector<ScoreExchange::FreshArm> ScoreExchange::freshArms() const {
  const base::TimePoint now = context_.now();
  std::vector<FreshArm> fresh;
  for (const auto& [key, pool] : pools_) {
    for (const ArmPtr& arm : pool.arms) {
      const RouteStatistics& statistics = arm->statistics;
      if (statistics.measured() && statistics.measuredAt() >= pool.epoch_start) {
        const SlowStartState& slow_start = arm->prefill->slow_start;
        const bool warming_up = context_.slow_start_limiter.isWarmingUp(slow_start, now);
        fresh.push_back(FreshArm{warming_up, statistics.measuredAt(), &pool, arm.get()});
      }
    }
  }
  return fresh;
}

bool ScoreExchange::hasPriority(const FreshArm& first, const FreshArm& second) {
  if (first.warming_up != second.warming_up) {
    return first.warming_up;
  }
  return first.measured_at > second.measured_at;
}

wire::RouteScore ScoreExchange::scoreOf(const ModelPool& pool, const Arm& arm) const {
  const RouteStatistics& statistics = arm.statistics;
  wire::RouteScore score;
  score.model = pool.model;
  score.arm = arm.signature;
  score.epoch = pool.epoch;
  score.tokens_per_second = statistics.mean().tokens_per_second;
  score.seconds_per_prefill_token = statistics.mean().seconds_per_prefill_token;
  score.seconds_per_output_token = statistics.mean().seconds_per_output_token;
  score.mass = context_.massOf(arm);
  const base::Duration age = context_.now() - statistics.measuredAt();
  score.age_ms = static_cast<std::uint32_t>(base::toMilliseconds(age));
  return score;
}

void ScoreExchange::importScores(const std::vector<wire::RouteScore>& scores) {
  for (const wire::RouteScore& score : scores) {
    for (auto& [key, pool] : pools_) {
      if (key.model == score.model) {
        importScore(pool, score);
      }
    }
  }
}

void ScoreExchange::importScore(ModelPool& pool, const wire::RouteScore& score) {
  Arm* arm = pool.index.findSignature(score.arm);
  const base::TimePoint now = context_.now();
  const base::Duration age = std::chrono::milliseconds(score.age_ms);
  const bool is_of_current_epoch = now - age >= pool.epoch_start;
  if (arm == nullptr || !is_of_current_epoch) {
    return;
  }
  SpeedSample mean;
  mean.tokens_per_second = score.tokens_per_second;
  mean.seconds_per_prefill_token = score.seconds_per_prefill_token;
  mean.seconds_per_output_token = score.seconds_per_output_token;
  arm->statistics.merge(mean, score.mass, age, now, context_.tuning.route_stats_half_life_s);
  SlowStartState& slow_start = arm->prefill->slow_start;
  slow_start.samples = std::max(slow_start.samples, score.mass);
}

}  // namespace switchsaddle::routing
