#include "switchsaddle/base/shutdown_policy.h"

#include <gtest/gtest.h>

#include <csignal>

namespace switchsaddle::base {
namespace {

TEST(ShutdownPolicyTest, SeriesOfTerminationSignalsDoesNotCutTheShutdownShort) {
  ShutdownPolicy policy;
  EXPECT_EQ(policy.onSignal(SIGTERM), ShutdownAction::Begin);
  EXPECT_EQ(policy.onSignal(SIGTERM), ShutdownAction::Continue);
  EXPECT_EQ(policy.onSignal(SIGINT), ShutdownAction::Continue);
  EXPECT_EQ(policy.onSignal(SIGTERM), ShutdownAction::Continue);
}

TEST(ShutdownPolicyTest, SecondInterruptEndsTheProcessAtOnce) {
  ShutdownPolicy policy;
  EXPECT_EQ(policy.onSignal(SIGINT), ShutdownAction::Begin);
  EXPECT_EQ(policy.onSignal(SIGTERM), ShutdownAction::Continue);
  EXPECT_EQ(policy.onSignal(SIGINT), ShutdownAction::EndAtOnce);
}

}  // namespace
}  // namespace switchsaddle::base
