#include "switchsaddle/routing/first_token_model.h"

#include <gtest/gtest.h>

#include <random>

namespace switchsaddle::routing {
namespace {

constexpr double BaseSeconds = 0.03;
constexpr double SecondsPerToken = 2e-5;

/** @return a model fitted to answers of an engine with the rates above, for prompts of 200 to
 * 12,000 tokens; `delayed_of_ten` in ten are delayed by half a second of unknown load. */
FirstTokenModel fittedModel(int answers, int delayed_of_ten) {
  std::mt19937 random(3);
  std::uniform_real_distribution<double> tokens(200, 12'000);
  std::uniform_int_distribution<int> in_ten(0, 9);
  FirstTokenModel model;
  for (int answer = 0; answer < answers; ++answer) {
    const double prefill_tokens = tokens(random);
    const double delay = in_ten(random) < delayed_of_ten ? 0.5 : 0;
    model.add(prefill_tokens, BaseSeconds + prefill_tokens * SecondsPerToken + delay);
  }
  return model;
}

TEST(FirstTokenModelTest, FitsBaseTimeAndTimePerToken) {
  const FirstTokenModel model = fittedModel(200, 0);
  EXPECT_NEAR(model.secondsPerToken(), SecondsPerToken, SecondsPerToken * 0.02);
  EXPECT_NEAR(model.baseSeconds(), BaseSeconds, 0.002);
}

TEST(FirstTokenModelTest, FitsFromFiveAnswers) {
  const FirstTokenModel model = fittedModel(5, 0);
  EXPECT_NEAR(model.expectedSeconds(10'000), BaseSeconds + 10'000 * SecondsPerToken, 0.05);
}

TEST(FirstTokenModelTest, CapsTheEffectOfUnknownDelays) {
  const FirstTokenModel model = fittedModel(400, 2);
  EXPECT_GT(model.expectedSeconds(10'000), 0.2);
  EXPECT_LT(model.expectedSeconds(10'000), 0.4);
}

TEST(FirstTokenModelTest, NeverFitsANegativeRate) {
  FirstTokenModel model;
  for (int answer = 0; answer < 50; ++answer) {
    model.add(100, 0.2);
    model.add(8'000, 0.1);
  }
  EXPECT_GT(model.secondsPerToken(), 0);
  EXPECT_GT(model.baseSeconds(), 0);
}

}  // namespace
}  // namespace switchsaddle::routing
