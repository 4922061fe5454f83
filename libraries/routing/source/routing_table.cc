#include "switchsaddle/routing/routing_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace switchsaddle::routing {

namespace {

constexpr double MsPerSecond = 1e3;

/** A row without the columns that compare it with the pool's other arms. */
RoutingRow rowOf(const RouterContext& context, const ModelPool& pool, const Arm& arm) {
  const RouteStatistics& statistics = arm.statistics;
  const SpeedSample& mean = statistics.mean();
  RoutingRow row;
  row.model = pool.model;
  row.arm = arm.signature;
  row.tokens_per_second = mean.tokens_per_second;
  row.samples = statistics.samples();
  row.mass = context.massOf(arm);
  row.status = armStatusName(context.statusOf(pool, arm));
  row.epoch = pool.epoch;
  row.first_token_estimate_ms =
      estimateFirstToken(arm, 0, 1, context.options.unmeasured_prior, context.now()) * MsPerSecond;
  row.in_flight = arm.prefill->slow_start.in_flight;
  row.seconds_per_prefill_token = mean.seconds_per_prefill_token;
  row.seconds_per_output_token = mean.seconds_per_output_token;
  return row;
}

std::vector<RoutingRow> rowsOf(const RouterContext& context, const ModelPool& pool) {
  std::vector<RoutingRow> rows;
  double best = 0;
  double total = 0;
  for (const ArmPtr& arm : pool.arms) {
    RoutingRow row = rowOf(context, pool, *arm);
    if (context.statusOf(pool, *arm) == ArmStatus::Proven) {
      best = std::max(best, row.tokens_per_second);
      row.expected_share = std::pow(row.tokens_per_second, context.tuning.route_weight_alpha);
      total += row.expected_share;
    }
    rows.push_back(std::move(row));
  }
  for (RoutingRow& row : rows) {
    row.coefficient = best > 0 ? row.tokens_per_second / best : 0;
    row.expected_share = total > 0 ? row.expected_share / total : 0;
  }
  return rows;
}

}  // namespace

std::vector<RoutingRow> buildRoutingTable(const RouterContext& context, const ModelPools& pools,
                                          const std::string& model) {
  std::vector<RoutingRow> table;
  for (const auto& [key, pool] : pools) {
    if (model.empty() || key.model == model) {
      std::ranges::move(rowsOf(context, pool), std::back_inserter(table));
    }
  }
  std::sort(table.begin(), table.end(), [](const RoutingRow& first, const RoutingRow& second) {
    return std::tie(first.model, first.arm) < std::tie(second.model, second.arm);
  });
  return table;
}

}  // namespace switchsaddle::routing
