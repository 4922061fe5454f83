#include "switchsaddle/worker_health/health_ranking.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "simulated_fleet.h"

namespace switchsaddle::worker_health {
namespace {

FleetPlan planWith(std::size_t worker, const InjectedSymptom& symptom) {
  FleetPlan plan;
  plan.unhealthy[worker] = symptom;
  return plan;
}

std::size_t unhealthyCount(const SimulatedFleet& fleet) {
  return static_cast<std::size_t>(
      std::ranges::count(fleet.ranking().ranks(), HealthState::Unhealthy, &WorkerRank::state));
}

TEST(HealthRankingTest, FindsStallsSlowTransfersAndFailures) {
  FleetPlan plan;
  plan.unhealthy[2] = {.stalls = 0.5};
  plan.unhealthy[5] = {.slowness = 3};
  plan.unhealthy[9] = {.failures = 0.4};
  SimulatedFleet fleet(plan, 1);
  fleet.run();
  EXPECT_EQ(fleet.rankOf(2).symptom, Symptom::Stalls);
  EXPECT_EQ(fleet.rankOf(5).symptom, Symptom::SlowTransfers);
  EXPECT_EQ(fleet.rankOf(9).symptom, Symptom::Failures);
  EXPECT_EQ(unhealthyCount(fleet), 3U);
}

TEST(HealthRankingTest, RanksTheMostUnhealthyWorkerFirst) {
  FleetPlan plan;
  plan.unhealthy[2] = {.stalls = 0.3};
  plan.unhealthy[5] = {.stalls = 0.9};
  SimulatedFleet fleet(plan, 1);
  fleet.run();
  EXPECT_EQ(fleet.ranking().ranks()[0].worker, SimulatedFleet::nameOf(5));
  EXPECT_EQ(fleet.ranking().ranks()[1].worker, SimulatedFleet::nameOf(2));
}

TEST(HealthRankingTest, FindsNoUnhealthyWorkerInAHealthyFleet) {
  SimulatedFleet fleet(FleetPlan{}, 3);
  fleet.run();
  EXPECT_EQ(unhealthyCount(fleet), 0U);
}

TEST(HealthRankingTest, StatesStayUnknownWithFewSamples) {
  FleetPlan plan = planWith(2, {.stalls = 0.9});
  plan.time = std::chrono::seconds(3);
  plan.requests_per_s = 20;
  SimulatedFleet fleet(plan, 1);
  fleet.run();
  for (const WorkerRank& rank : fleet.ranking().ranks()) {
    EXPECT_EQ(rank.state, HealthState::Unknown) << rank.worker;
  }
}

TEST(HealthRankingTest, LongPromptsOfOneTenantMakeNoWorkerUnhealthy) {
  FleetPlan plan;
  plan.long_prompt_worker = 4;
  SimulatedFleet fleet(plan, 5);
  fleet.run();
  EXPECT_NE(fleet.rankOf(4).state, HealthState::Unhealthy);
}

TEST(HealthRankingTest, AnUnhealthyFrontMakesNoWorkerUnhealthy) {
  FleetPlan plan;
  plan.unhealthy_front = 1;
  SimulatedFleet fleet(plan, 6);
  fleet.run();
  EXPECT_EQ(unhealthyCount(fleet), 0U);
}

TEST(HealthRankingTest, RecordsChangesOfTheWorkerRankedFirst) {
  SimulatedFleet fleet(planWith(2, {.stalls = 0.6}), 1);
  fleet.run();
  ASSERT_FALSE(fleet.ranking().history().empty());
  EXPECT_EQ(fleet.ranking().history().back().worker, SimulatedFleet::nameOf(2));
  EXPECT_GT(fleet.rankOf(2).since.count(), 0);
}

/** Results over many seeds of one classifier of unhealthy workers. */
struct ClassifierResults {
  int injected = 0;
  int found = 0;
  int reported = 0;
  int reported_correctly = 0;

  double recall() const { return injected > 0 ? static_cast<double>(found) / injected : 1; }
  double precision() const {
    return reported > 0 ? static_cast<double>(reported_correctly) / reported : 1;
  }
};

double meanOf(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double percentile99(std::vector<double> values) {
  std::ranges::sort(values);
  return values.empty() ? 0 : values[values.size() * 99 / 100];
}

double medianOf(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

/** Fleets with one to three unhealthy workers of one severity, a tenant that sends long prompts to
 * one healthy worker and, in half of them, an unhealthy front. */
class InjectedFleets {
 public:
  explicit InjectedFleets(double severity) : severity_(severity) {}

  void runSeed(std::uint64_t seed) {
    base::RandomSource random(seed * 7 + 1);
    FleetPlan plan;
    const std::size_t count = 1 + random.below(3);
    while (plan.unhealthy.size() < count) {
      plan.unhealthy[random.below(plan.workers)] = draw(random);
    }
    do {
      plan.long_prompt_worker = random.below(plan.workers);
    } while (plan.unhealthy.contains(*plan.long_prompt_worker));
    if (random.chance(0.5)) {
      plan.unhealthy_front = random.below(plan.fronts);
    }
    SimulatedFleet fleet(plan, seed);
    fleet.run();
    countOutcomes(fleet, plan);
  }

  ClassifierResults ranking;
  ClassifierResults mean_speed;
  ClassifierResults tail_alone;
  int kept_as_healthy = 0;

 private:
  InjectedSymptom draw(base::RandomSource& random) const {
    InjectedSymptom symptom;
    switch (random.below(3)) {
      case 0:
        symptom.stalls = severity_;
        break;
      case 1:
        symptom.slowness = 1.5 + 2 * severity_;
        break;
      default:
        symptom.failures = severity_;
    }
    symptom.intermittent = random.chance(0.3);
    return symptom;
  }

  static void count(ClassifierResults& results, bool injected, bool reported) {
    results.injected += injected ? 1 : 0;
    results.reported += reported ? 1 : 0;
    results.found += injected && reported ? 1 : 0;
    results.reported_correctly += injected && reported ? 1 : 0;
  }

  void countOutcomes(const SimulatedFleet& fleet, const FleetPlan& plan) {
    std::vector<double> speeds;
    std::vector<double> tails;
    for (std::size_t worker = 0; worker < plan.workers; ++worker) {
      speeds.push_back(meanOf(fleet.measurementsOf(worker).events_per_s));
      tails.push_back(percentile99(fleet.measurementsOf(worker).longest_pauses_s));
    }
    for (std::size_t worker = 0; worker < plan.workers; ++worker) {
      const bool injected = plan.unhealthy.contains(worker);
      const HealthState state = fleet.rankOf(worker).state;
      count(ranking, injected, state == HealthState::Unhealthy);
      count(mean_speed, injected, speeds[worker] < 0.7 * medianOf(speeds));
      count(tail_alone, injected, tails[worker] > 2 * medianOf(tails));
      kept_as_healthy += injected && state == HealthState::Healthy ? 1 : 0;
    }
  }

  double severity_;
};

class InjectedSymptomTest : public testing::TestWithParam<double> {};

std::string formatRates(const ClassifierResults& results) {
  return "precision " + std::to_string(results.precision()) + ", recall " +
         std::to_string(results.recall());
}

TEST_P(InjectedSymptomTest, IsFoundWithoutFalsePositives) {
  constexpr std::uint64_t Seeds = 334;
  InjectedFleets fleets(GetParam());
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    fleets.runSeed(seed);
  }
  RecordProperty("ranking", formatRates(fleets.ranking));
  RecordProperty("mean_speed", formatRates(fleets.mean_speed));
  RecordProperty("tail_alone", formatRates(fleets.tail_alone));
  RecordProperty("kept_as_healthy", fleets.kept_as_healthy);
  std::cout << "severity " << GetParam() << ": ranking " << formatRates(fleets.ranking)
            << "; mean speed " << formatRates(fleets.mean_speed) << "; 99th percentile "
            << formatRates(fleets.tail_alone) << "; unhealthy ranked as healthy "
            << fleets.kept_as_healthy << " of " << fleets.ranking.injected << "\n";
  EXPECT_GE(fleets.ranking.precision(), 0.98);
  EXPECT_GT(fleets.ranking.recall(), fleets.mean_speed.recall() + 0.3);
  EXPECT_GT(fleets.ranking.recall(), fleets.tail_alone.recall() + 0.3);
  const bool is_strong = GetParam() >= 0.5;
  EXPECT_GE(fleets.ranking.recall(), is_strong ? 0.99 : 0.9);
  EXPECT_LE(fleets.kept_as_healthy, is_strong ? 0 : fleets.ranking.injected / 20);
}

INSTANTIATE_TEST_SUITE_P(Severities, InjectedSymptomTest, testing::Values(0.25, 0.5, 0.8));

}  // namespace
}  // namespace switchsaddle::worker_health
