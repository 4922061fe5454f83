#include "switchsaddle/core/configuration/in_force_tracker.h"

#include "change_fixture.h"

namespace switchsaddle::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class InForceTrackerTest : public ChangeFixture {
 protected:
  InForceTrackerTest() : ChangeFixture(1) {}

  /** @return the number of readings in 2 s for a version that is never in force. */
  int readings(base::Duration each) {
    directory_.setSession({"127.0.0.2", 7000}, 0);
    directory_.local_table_empty = true;
    directory_.defers_replies = true;
    tracker_.wait(5, process_.now() + seconds(10), [](const InForceOutcome&) {});
    const base::TimePoint end = process_.now() + seconds(2);
    while (process_.now() < end) {
      world_.runFor(each);
      for (const auto& reply : std::exchange(directory_.pending, {})) {
        reply(base::ResultCode::Ok, directory_.live);
      }
    }
    return directory_.reads;
  }
};

TEST_F(InForceTrackerTest, ReadsFrequentlyIfCoresReplyFast) {
  EXPECT_GT(readings(milliseconds(5)), 80);
}

/** Each tracking core reads the tables of all its peers, so slow cores must not be read more. */
TEST_F(InForceTrackerTest, ReadsPeersOnceTheLocalTableShowsNoLaggingFront) {
  const base::NodeAddress front{"127.0.0.2", 7000};
  directory_.setSession(front, 0);
  InForceOutcome outcome;
  tracker_.wait(5, process_.now() + seconds(10),
                [&](const InForceOutcome& in_force) { outcome = in_force; });
  world_.runFor(milliseconds(150));
  EXPECT_EQ(directory_.reads, 0);
  directory_.setSession(front, 5);
  world_.runFor(milliseconds(15));
  EXPECT_EQ(directory_.reads, 1);
  EXPECT_TRUE(outcome.in_force);
}

TEST_F(InForceTrackerTest, ReadsPeersRarelyWhileTheLocalTableShowsLaggingFronts) {
  directory_.setSession({"127.0.0.2", 7000}, 0);
  tracker_.wait(5, process_.now() + seconds(10), [](const InForceOutcome&) {});
  world_.runFor(seconds(2));
  EXPECT_GE(directory_.reads, 8);
  EXPECT_LE(directory_.reads, 11);
}

TEST_F(InForceTrackerTest, AnOlderVersionDoesNotWaitForANewerOne) {
  directory_.setSession({"127.0.0.2", 7000}, 5);
  bool older_done = false;
  tracker_.wait(6, process_.now() + seconds(10), [](const InForceOutcome&) {});
  tracker_.wait(5, process_.now() + seconds(10),
                [&](const InForceOutcome& in_force) { older_done = in_force.in_force; });
  world_.runFor(milliseconds(30));
  EXPECT_TRUE(older_done);
}

TEST_F(InForceTrackerTest, BacksOffPushesToAFrontThatDoesNotConfirm) {
  const base::NodeAddress front{"127.0.0.2", 7000};
  simulation::Process front_process(world_);
  const auto front_transport = network_.attach(front, front_process);
  transport::PeerCalls front_calls(front_process, *front_transport);
  int pushes = 0;
  front_calls.handle<wire::ConfigurationDelta>(
      [&](const auto&, const auto&, const auto&) { ++pushes; });
  configuration::Document document;
  document.version = 5;
  replica_.apply(document.deltaSince(0));
  directory_.setSession(front, 0);
  tracker_.wait(5, process_.now() + seconds(10), [](const InForceOutcome&) {});
  world_.runFor(seconds(2));
  EXPECT_GE(pushes, 4);
  EXPECT_LE(pushes, 6);
}

TEST_F(InForceTrackerTest, ReadsLessFrequentlyIfReadingsAreSlow) {
  EXPECT_LE(readings(milliseconds(100)), 14);
}

}  // namespace
}  // namespace switchsaddle::core
