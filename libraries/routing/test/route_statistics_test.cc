#include "switchsaddle/routing/route_statistics.h"

#include <gtest/gtest.h>

namespace switchsaddle::routing {
namespace {

constexpr double HalfLifeSeconds = 600.0;

base::TimePoint at(int seconds) {
  return base::TimePoint(std::chrono::seconds(seconds));
}

SpeedSample speed(double tokens_per_second) {
  return SpeedSample{tokens_per_second, 0, 0};
}

TEST(RouteStatisticsTest, MassHalvesEachHalfLife) {
  RouteStatistics statistics;
  statistics.add(speed(50), at(0), HalfLifeSeconds);
  EXPECT_DOUBLE_EQ(statistics.mass(at(0), HalfLifeSeconds), 1.0);
  EXPECT_NEAR(statistics.mass(at(600), HalfLifeSeconds), 0.5, 1e-9);
  EXPECT_NEAR(statistics.mass(at(1800), HalfLifeSeconds), 0.125, 1e-9);
}

TEST(RouteStatisticsTest, LeavesTheExploitPoolBelowHalfMass) {
  RouteStatistics statistics;
  EXPECT_EQ(statistics.status(at(0), at(0), HalfLifeSeconds), ArmStatus::Unsampled);
  statistics.add(speed(50), at(0), HalfLifeSeconds);
  EXPECT_EQ(statistics.status(at(599), at(0), HalfLifeSeconds), ArmStatus::Proven);
  EXPECT_EQ(statistics.status(at(601), at(0), HalfLifeSeconds), ArmStatus::Decayed);
}

TEST(RouteStatisticsTest, SamplesOfAnOlderEpochAreStaleButKeepTheirMean) {
  RouteStatistics statistics;
  statistics.add(speed(50), at(10), HalfLifeSeconds);
  EXPECT_EQ(statistics.status(at(20), at(15), HalfLifeSeconds), ArmStatus::Stale);
  EXPECT_DOUBLE_EQ(statistics.mean().tokens_per_second, 50);
  statistics.add(speed(50), at(21), HalfLifeSeconds);
  EXPECT_EQ(statistics.status(at(22), at(15), HalfLifeSeconds), ArmStatus::Proven);
}

TEST(RouteStatisticsTest, NewSamplesOutweighDecayedOnes) {
  RouteStatistics statistics;
  statistics.add(speed(100), at(0), HalfLifeSeconds);
  statistics.add(speed(10), at(1200), HalfLifeSeconds);
  EXPECT_NEAR(statistics.mean().tokens_per_second, (100 * 0.25 + 10) / 1.25, 1e-9);
}

TEST(RouteStatisticsTest, MergingOneValueTwiceDoesNotAddItsMass) {
  RouteStatistics statistics;
  statistics.merge(speed(80), 3.0, std::chrono::seconds(1), at(10), HalfLifeSeconds);
  statistics.merge(speed(80), 3.0, std::chrono::seconds(1), at(10), HalfLifeSeconds);
  EXPECT_DOUBLE_EQ(statistics.mass(at(10), HalfLifeSeconds), 3.0);
  EXPECT_DOUBLE_EQ(statistics.mean().tokens_per_second, 80);
}

TEST(RouteStatisticsTest, MergingWeightsByMassAndKeepsTheLaterMeasurement) {
  RouteStatistics statistics;
  const base::TimePoint start{};
  statistics.add(speed(30), start, 600);
  const base::TimePoint later = start + std::chrono::seconds(2);
  statistics.merge(speed(60), 2.0, std::chrono::seconds(1), later, 600);
  EXPECT_NEAR(statistics.mean().tokens_per_second, 50, 0.1);
  EXPECT_NEAR(statistics.mass(later, 600), 2.0, 1e-9);
  EXPECT_EQ(statistics.measuredAt(), start + std::chrono::seconds(1));
  statistics.merge(speed(60), 2.0, std::chrono::seconds(5), later, 600);
  EXPECT_EQ(statistics.measuredAt(), start + std::chrono::seconds(1));
}

TEST(RouteStatisticsTest, AShortPrefillHasLittleWeightInThePrefillRate) {
  RouteStatistics statistics;
  SpeedSample sample = speed(50);
  sample.seconds_per_prefill_token = 0.001;
  statistics.add(sample, at(0), HalfLifeSeconds);
  sample.seconds_per_prefill_token = 0.011;
  sample.prefill_weight = 0.25;
  statistics.add(sample, at(0), HalfLifeSeconds);
  EXPECT_NEAR(statistics.mean().seconds_per_prefill_token, 0.003, 1e-9);
  sample.prefill_weight = 0;
  statistics.add(sample, at(0), HalfLifeSeconds);
  EXPECT_NEAR(statistics.mean().seconds_per_prefill_token, 0.003, 1e-9);
}

TEST(RouteStatisticsTest, IgnoresInvalidValuesFromPeers) {
  RouteStatistics statistics;
  statistics.merge(speed(0), 3.0, {}, at(10), HalfLifeSeconds);
  statistics.merge(speed(80), -1.0, {}, at(10), HalfLifeSeconds);
  statistics.merge(speed(80), std::numeric_limits<double>::quiet_NaN(), {}, at(10),
                   HalfLifeSeconds);
  EXPECT_FALSE(statistics.measured());
}

}  // namespace
}  // namespace switchsaddle::routing
