#include "switchsaddle/routing/arm_selection.h"

#include <gtest/gtest.h>

#include <array>

namespace switchsaddle::routing {
namespace {

constexpr int Draws = 4'000;

SelectionCandidate proven(double tokens_per_second) {
  return SelectionCandidate{true, 5.0, 0, tokens_per_second, true};
}

SelectionCandidate unproven(double mass, double prior) {
  return SelectionCandidate{false, mass, prior, 0, true};
}

TEST(ArmSelectionTest, SplitsInProportionToSpeedAtAlphaOne) {
  base::RandomSource random(1);
  const std::array candidates{proven(60), proven(40)};
  int first = 0;
  for (int draw = 0; draw < Draws; ++draw) {
    const Selection selection = selectArm(candidates, 0.3, 1.0, random);
    EXPECT_EQ(selection.mode, SelectionMode::Exploit);
    first += selection.index == 0 ? 1 : 0;
  }
  EXPECT_NEAR(first / static_cast<double>(Draws), 0.6, 0.03);
}

TEST(ArmSelectionTest, HigherAlphaFavoursTheFasterArm) {
  base::RandomSource random(2);
  const std::array candidates{proven(60), proven(40)};
  int first = 0;
  for (int draw = 0; draw < Draws; ++draw) {
    first += selectArm(candidates, 0.0, 2.0, random).index == 0 ? 1 : 0;
  }
  EXPECT_NEAR(first / static_cast<double>(Draws), 3600.0 / 5200.0, 0.03);
}

TEST(ArmSelectionTest, ScoutsWithTheExploreShare) {
  base::RandomSource random(3);
  const std::array candidates{proven(60), unproven(0.2, 0)};
  int scouted = 0;
  for (int draw = 0; draw < Draws; ++draw) {
    scouted += selectArm(candidates, 0.3, 1.0, random).mode == SelectionMode::Scout ? 1 : 0;
  }
  EXPECT_NEAR(scouted / static_cast<double>(Draws), 0.3, 0.03);
}

TEST(ArmSelectionTest, ScoutsTheLeastMeasuredFirstAndBreaksTiesOnThePrior) {
  base::RandomSource random(4);
  const std::array candidates{proven(60), unproven(0.4, 9), unproven(0.1, 1), unproven(0.1, 2)};
  EXPECT_EQ(selectArm(candidates, 1.0, 1.0, random).index, 3U);
}

TEST(ArmSelectionTest, ChoosesTheBestPriorIfNoArmIsProven) {
  base::RandomSource random(5);
  const std::array candidates{unproven(0, 1), unproven(0, 3), unproven(0.4, 2)};
  for (int draw = 0; draw < 100; ++draw) {
    const Selection selection = selectArm(candidates, 0.3, 1.0, random);
    EXPECT_EQ(selection.index, 1U);
    EXPECT_EQ(selection.mode, SelectionMode::BestPrior);
  }
}

TEST(ArmSelectionTest, ArmsNotAdmittedBySlowStartAreNeitherScoutedNorChosenByPrior) {
  base::RandomSource random(6);
  SelectionCandidate warming_up = unproven(0, 9);
  warming_up.may_scout = false;
  const std::array with_proven{proven(60), warming_up};
  const std::array without_proven{unproven(0.1, 1), warming_up};
  for (int draw = 0; draw < 200; ++draw) {
    EXPECT_EQ(selectArm(with_proven, 1.0, 1.0, random).index, 0U);
    EXPECT_EQ(selectArm(without_proven, 0.3, 1.0, random).index, 0U);
  }
}

}  // namespace
}  // namespace switchsaddle::routing
