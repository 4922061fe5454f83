#include <gtest/gtest.h>

#include <algorithm>

#include "switchsaddle/base/error.h"
#include "switchsaddle/experiments/sweep.h"

namespace switchsaddle::experiments {
namespace {

constexpr std::uint64_t FirstSeed = 101;
constexpr std::uint64_t Seeds = 16;
/** More seeds for the 95th percentile: it varies by a third between seeds, depending on the
 * positions of the workers on the hash ring. */
constexpr std::uint64_t SeedsOfPercentiles = 96;

/** Sizes and load of a deployment, as parameters of the experiment. */
struct Deployment {
  const char* fronts;
  const char* workers;
  const char* streams_per_s;
};

/** The goals of docs/ROUTING.md, checked with the seeds above. */
class RoutingGoalsTest : public testing::TestWithParam<Deployment> {
 protected:
  std::vector<Row> run(const std::string& policy, std::uint64_t seeds = Seeds) {
    Sweep sweep;
    sweep.first_seed = FirstSeed;
    sweep.seeds = seeds;
    sweep.ranges = {{"policy", {policy}},
                    {"fronts", {GetParam().fronts}},
                    {"workers", {GetParam().workers}},
                    {"streams_per_s", {GetParam().streams_per_s}}};
    return runSweep(*allExperiments().front(), sweep, [](const Row&) {});
  }

  static Summary summary(const std::vector<Row>& rows, const std::string& measure) {
    return summarize(rows, measure).front();
  }
};

TEST_P(RoutingGoalsTest, FirstTokenP95IsBelowBothBaselines) {
  const auto percentile = [this](const std::string& policy) {
    return summary(run(policy, SeedsOfPercentiles), "first_token_p95_ms").mean;
  };
  const double ours = percentile("ours");
  const double least_loaded = percentile("least-loaded");
  const double round_robin = percentile("round-robin");
  EXPECT_LE(ours, 0.6 * std::min(least_loaded, round_robin));
}

TEST_P(RoutingGoalsTest, CachedShareIsCloseToTheOracles) {
  const double ours = summary(run("ours"), "cached_share").mean;
  EXPECT_GE(ours, 0.9 * summary(run("oracle"), "cached_share").mean);
}

TEST_P(RoutingGoalsTest, AWorkerInSlowStartIsNotOverloadedAndSoonGetsItsShare) {
  const std::vector<Row> rows = run("ours");
  EXPECT_LE(summary(rows, "cold_share_2s").most, 1.0);
  EXPECT_LE(summary(rows, "warm_after_s").most, 10.0);
}

TEST_P(RoutingGoalsTest, ScoreTrafficStaysWithinItsLimit) {
  constexpr double BytesPerSecond = 5'000;
  EXPECT_LE(summary(run("ours"), "score_bytes_per_front_s").most, BytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Deployments, RoutingGoalsTest,
                         testing::Values(Deployment{"6", "9", "35"}, Deployment{"8", "12", "60"}));

TEST(RoutingExperimentTest, SameSeedGivesSameMeasures) {
  const auto experiment = std::move(allExperiments().front());
  Settings settings(experiment->defaults());
  settings.set("duration_s", "40");
  const std::vector<Measure> first = experiment->run(settings, 5);
  const std::vector<Measure> second = experiment->run(settings, 5);
  ASSERT_EQ(first.size(), second.size());
  for (std::size_t index = 0; index < first.size(); ++index) {
    EXPECT_EQ(first[index].value, second[index].value) << first[index].name;
  }
}

TEST(RoutingExperimentTest, RejectsUnknownPolicies) {
  const auto experiment = std::move(allExperiments().front());
  Settings settings(experiment->defaults());
  settings.set("policy", "none");
  EXPECT_THROW(experiment->run(settings, 1), base::Error);
}

}  // namespace
}  // namespace switchsaddle::experiments
