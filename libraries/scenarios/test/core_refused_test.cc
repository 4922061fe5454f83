#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration Grace = seconds(60);
/** Longest time for which a session that was just renewed outlasts the cores. */
constexpr base::Duration FrontLimit = seconds(1);
constexpr base::Duration Step = milliseconds(50);

/** All cores are killed at once; callers continue to open streams at every front. */
class CoreRefusedTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  void prepare(base::Duration grace) {
    fleet_ = std::make_unique<Fleet>(GetParam(), FleetSize{.core_refused_grace = grace});
    fleet_->addModelWorker();
    ASSERT_TRUE(fleet_->runUntilAllServe(0, seconds(12)));
    ASSERT_TRUE(fleet_->commitChange(firstChange(), seconds(12)));
    fleet_->world.runFor(seconds(2));
    for (const auto& front : fleet_->fronts) {
      front->setDispatchListener([this](const Dispatch& dispatch) {
        last_dispatch_[dispatch.front] = fleet_->world.now();
      });
    }
  }

  void killCores() {
    for (const auto& core : fleet_->cores) {
      core->kill(CrashKind::Kill);
    }
    killed_at_ = fleet_->world.now();
  }

  void serveFor(base::Duration duration) {
    const base::TimePoint end = fleet_->world.now() + duration;
    while (fleet_->world.now() < end) {
      for (const auto& front : fleet_->fronts) {
        front->openStream(secretOfKey(CallerKey));
      }
      fleet_->world.runFor(Step);
    }
  }

  /** Time from the kill of the cores until a front's last dispatch. */
  base::Duration servedAfter(const WatchedFront& front) {
    return last_dispatch_[front.address()] - killed_at_;
  }

  std::unique_ptr<Fleet> fleet_;
  base::TimePoint killed_at_;
  std::map<base::NodeAddress, base::TimePoint> last_dispatch_;
};

TEST_P(CoreRefusedTest, KeepsServingForTheGracePeriodAndNoLonger) {
  prepare(Grace);
  killCores();
  serveFor(Grace + seconds(10));
  for (const auto& front : fleet_->fronts) {
    EXPECT_GT(servedAfter(*front), Grace - seconds(1));
    EXPECT_LE(servedAfter(*front), Grace + FrontLimit);
  }
}

TEST_P(CoreRefusedTest, StopsAtTheEndOfTheSessionIfTheGracePeriodIsOff) {
  prepare(base::Duration::zero());
  killCores();
  serveFor(seconds(10));
  for (const auto& front : fleet_->fronts) {
    EXPECT_LE(servedAfter(*front), FrontLimit);
  }
}

TEST_P(CoreRefusedTest, SessionsRecoverAfterTheCoresRestart) {
  prepare(Grace);
  killCores();
  serveFor(seconds(20));
  for (const auto& core : fleet_->cores) {
    core->start();
  }
  serveFor(seconds(12));
  const base::TimePoint now = fleet_->world.now();
  for (const auto& front : fleet_->fronts) {
    EXPECT_EQ(front->node().session().state(), sessions::SessionState::Serving);
    EXPECT_LT(now - last_dispatch_[front->address()], seconds(1));
  }
  EXPECT_TRUE(fleet_->commitChange(
      R"({"change_id":"second","base_version":1,"remove":["keys/caller"]})", seconds(12)));
  const std::map<base::NodeAddress, base::TimePoint> before = last_dispatch_;
  serveFor(seconds(5));
  EXPECT_EQ(last_dispatch_, before) << "a removed key is still served";
}

/** The old addresses keep refusing connections while a core runs at another address. */
TEST_P(CoreRefusedTest, GracePeriodIsNotExtendedIfCoresNeverReturn) {
  prepare(Grace);
  killCores();
  SimulatedCore& elsewhere = fleet_->addCore();
  serveFor(Grace + seconds(30));
  EXPECT_TRUE(elsewhere.running());
  for (const auto& front : fleet_->fronts) {
    EXPECT_LE(servedAfter(*front), Grace + FrontLimit);
    EXPECT_FALSE(front->dispatchVersion().has_value());
  }
}

/** A front that receives a newer version from a peer stops serving immediately. */
TEST_P(CoreRefusedTest, StopsServingWithoutCoresOnANewerVersion) {
  prepare(Grace);
  killCores();
  serveFor(seconds(5));
  for (const auto& front : fleet_->fronts) {
    ASSERT_EQ(front->node().session().state(), sessions::SessionState::ServingWithoutCore);
  }
  configuration::Document newer = fleet_->fronts[0]->node().replica().document();
  std::vector<configuration::Fault> faults;
  newer = configuration::applyChange(
      newer, configuration::parseChange(
                 R"({"change_id":"x","base_version":1,"remove":["keys/caller"]})", faults));
  simulation::Process process(fleet_->world);
  const auto transport = fleet_->network.attach({"127.0.0.1", 7'300}, process);
  transport::PeerCalls calls(process, *transport);
  calls.notify(fleet_->fronts[0]->address(), newer.deltaSince(1));
  fleet_->world.runFor(seconds(8));
  for (const auto& front : fleet_->fronts) {
    EXPECT_FALSE(front->dispatchVersion().has_value()) << front->address().toString();
  }
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, CoreRefusedTest, testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace switchsaddle::scenarios
