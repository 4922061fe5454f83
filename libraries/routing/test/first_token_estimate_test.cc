#include "switchsaddle/routing/first_token_estimate.h"

#include <gtest/gtest.h>

#include <memory>

namespace switchsaddle::routing {
namespace {

TEST(FirstTokenEstimateTest, ThePoolsRateTakesPrecedenceUnlessTheArmIsUnhealthy) {
  Arm arm;
  arm.prefill = std::make_shared<WorkerRecord>();
  SpeedSample sample;
  sample.seconds_per_prefill_token = 0.000'01;
  arm.statistics.add(sample, {}, 600);
  const UnmeasuredPrior prior;
  const double with_pool_rate = estimateFirstToken(arm, 1'000, 1, prior, {}, 0.000'02);
  EXPECT_NEAR(with_pool_rate, prior.base_seconds + 0.02, 1e-6);
  EXPECT_NEAR(estimateFirstToken(arm, 1'000, 1, prior, {}), prior.base_seconds + 0.01, 1e-6);
  Arm unhealthy;
  unhealthy.prefill = arm.prefill;
  sample.seconds_per_prefill_token = 0.000'1;
  unhealthy.statistics.add(sample, {}, 600);
  EXPECT_NEAR(estimateFirstToken(unhealthy, 1'000, 1, prior, {}, 0.000'02),
              prior.base_seconds + 0.1, 1e-6);
}

}  // namespace
}  // namespace switchsaddle::routing
