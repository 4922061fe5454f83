#pragma once

#include <cstddef>
#include <vector>

#include "switchsaddle/routing/router_context.h"
#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::routing {

/** Exchanges arm scores with other fronts by dissemination. Runs on the control strand. */
class ScoreExchange {
 public:
  /** Keeps one exchange below 5 KB. */
  static constexpr std::size_t MaximumScores = 56;

  /** All arguments must outlive this object. */
  ScoreExchange(const RouterContext& context, ModelPools& pools)
      : context_(context), pools_(pools) {}

  /** @return at most MaximumScores scores of the current epochs: arms of workers that are warming
   * up first, then the most recently measured. */
  std::vector<wire::RouteScore> exportScores() const;
  /** Merges scores of other fronts; ignores unknown arms and samples older than the epoch. */
  void importScores(const std::vector<wire::RouteScore>& scores);

 private:
  /** An arm whose score may be exported. */
  struct FreshArm {
    bool warming_up = false;
    base::TimePoint measured_at{};
    const ModelPool* pool = nullptr;
    const Arm* arm = nullptr;
  };

  std::vector<FreshArm> freshArms() const;
  static bool hasPriority(const FreshArm& first, const FreshArm& second);
  wire::RouteScore scoreOf(const ModelPool& pool, const Arm& arm) const;
  void importScore(ModelPool& pool, const wire::RouteScore& score);

  const RouterContext& context_;
  ModelPools& pools_;
};

}  // namespace switchsaddle::routing
