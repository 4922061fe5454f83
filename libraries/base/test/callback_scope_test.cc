#include "switchsaddle/base/callback_scope.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

namespace switchsaddle::base {
namespace {

TEST(CallbackScopeTest, ForwardsCallsWhileTheScopeExists) {
  const CallbackScope scope;
  int sum = 0;
  const std::function<void(int, const int&)> guarded =
      scope.guard([&sum](int first, const int& second) { sum += first + second; });
  guarded(1, 2);
  guarded(3, 4);
  EXPECT_EQ(sum, 10);
}

TEST(CallbackScopeTest, DoesNothingAfterTheScopeHasEnded) {
  std::optional<CallbackScope> scope(std::in_place);
  int calls = 0;
  const std::function<void()> guarded = scope->guard([&calls] { ++calls; });
  guarded();
  scope.reset();
  guarded();
  EXPECT_EQ(calls, 1);
}

TEST(CallbackScopeTest, ACallbackMayDestroyItsOwnScope) {
  std::optional<CallbackScope> scope(std::in_place);
  int calls = 0;
  const std::function<void()> guarded = scope->guard([&] {
    scope.reset();
    ++calls;
  });
  guarded();
  guarded();
  EXPECT_EQ(calls, 1);
}

TEST(CallbackScopeTest, MovesArguments) {
  const CallbackScope scope;
  std::string received;
  const std::function<void(std::string)> guarded =
      scope.guard([&received](std::string text) { received = std::move(text); });
  guarded("text");
  EXPECT_EQ(received, "text");
}

}  // namespace
}  // namespace switchsaddle::base
