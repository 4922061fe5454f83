#include "switchsaddle/sessions/quorum_session_client.h"

#include <gtest/gtest.h>

#include <utility>
#include <variant>

#include "session_fleet.h"

namespace switchsaddle::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class QuorumSessionClientTest : public testing::Test {
 protected:
  QuorumSessionClientTest() {
    fleet_.runUntil([this] { return fleet_.allServing(); }, seconds(2));
  }
  void killCores(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      fleet_.kill(fleet_.core(index));
    }
  }
  SessionState state() const { return front_.client->state(); }

  SessionFleet fleet_{7};
  SessionNode& front_ = fleet_.front(0);
};

TEST_F(QuorumSessionClientTest, OpensAndLearnsCoresAndFronts) {
  ASSERT_EQ(state(), SessionState::Serving);
  fleet_.run(seconds(1));
  EXPECT_EQ(front_.client->coreAddresses().size(), SessionFleet::CoreCount);
  EXPECT_EQ(front_.client->frontAddresses().size(), SessionFleet::FrontCount);
}

TEST_F(QuorumSessionClientTest, ServesOnlyOnceTheRequiredVersionIsApplied) {
  for (std::size_t index = 0; index < SessionFleet::CoreCount; ++index) {
    fleet_.core(index).accepted = 3;
  }
  fleet_.apply_versions = false;
  fleet_.kill(front_);
  fleet_.start(front_);
  fleet_.run(milliseconds(500));
  EXPECT_EQ(state(), SessionState::CatchingUp);
  EXPECT_FALSE(front_.client->mayDispatch());
  front_.client->setApplied(3, 0);
  EXPECT_EQ(state(), SessionState::Serving);
}

TEST_F(QuorumSessionClientTest, KeepsServingWhileEachCoreFreezesInTurn) {
  for (std::size_t index = 0; index < SessionFleet::CoreCount; ++index) {
    fleet_.core(index).process.freeze();
    const bool expired =
        fleet_.runUntil([this] { return !front_.client->mayDispatch(); }, seconds(3));
    EXPECT_FALSE(expired) << "core " << index;
    fleet_.core(index).process.wake();
    fleet_.run(seconds(2));
  }
}

TEST_F(QuorumSessionClientTest, KeepsServingWhileEveryCoreExceedsTheTimeout) {
  // A renewal takes four messages: the request, the batch, its reply and the grant.
  fleet_.network.conditions.minimum_delay = milliseconds(95);
  fleet_.network.conditions.maximum_delay = milliseconds(105);
  fleet_.run(seconds(2));
  const bool expired =
      fleet_.runUntil([this] { return !front_.client->mayDispatch(); }, seconds(10));
  EXPECT_FALSE(expired);
}

TEST_F(QuorumSessionClientTest, SendsNoAdditionalRenewalsWhenEveryCoreIsSlow) {
  std::size_t renewals = 0;
  fleet_.network.observer = [&](const auto&, const wire::Envelope& envelope, std::size_t) {
    renewals += std::holds_alternative<wire::SessionOpenRequest>(envelope.message) ? 1 : 0;
  };
  fleet_.run(seconds(4));
  const std::size_t renewals_without_delay = std::exchange(renewals, 0);
  fleet_.network.conditions.minimum_delay = milliseconds(95);
  fleet_.network.conditions.maximum_delay = milliseconds(105);
  fleet_.run(seconds(4));
  EXPECT_LE(renewals, renewals_without_delay);
}

TEST_F(QuorumSessionClientTest, ExpiresBeforeAFrozenProcessResumes) {
  front_.process.freeze();
  fleet_.run(milliseconds(1'000));
  EXPECT_EQ(state(), SessionState::Expired);
  front_.process.wake();
  EXPECT_TRUE(fleet_.runUntil([this] { return state() == SessionState::Serving; }, seconds(1)));
}

TEST_F(QuorumSessionClientTest, ServesWithoutCoreUntilTheGraceEnds) {
  killCores(3);
  fleet_.run(seconds(2));
  EXPECT_EQ(state(), SessionState::ServingWithoutCore);
  const bool expired =
      fleet_.runUntil([this] { return state() == SessionState::Expired; }, seconds(57));
  EXPECT_FALSE(expired);
  fleet_.run(seconds(3));
  EXPECT_EQ(state(), SessionState::Expired);
  for (std::size_t index = 0; index < 3; ++index) {
    fleet_.start(fleet_.core(index));
  }
  EXPECT_TRUE(fleet_.runUntil([this] { return state() == SessionState::Serving; }, seconds(2)));
}

TEST_F(QuorumSessionClientTest, NewerVersionEndsTheGracePermanently) {
  killCores(5);
  fleet_.run(seconds(2));
  ASSERT_EQ(state(), SessionState::ServingWithoutCore);
  front_.client->observeNewerVersion(0);
  EXPECT_EQ(state(), SessionState::ServingWithoutCore);
  front_.client->observeNewerVersion(1);
  EXPECT_EQ(state(), SessionState::Expired);
  front_.client->setApplied(1, 0);
  fleet_.run(seconds(2));
  EXPECT_EQ(state(), SessionState::Expired);
}

TEST_F(QuorumSessionClientTest, NoGraceWhenAMinorityRefuses) {
  killCores(2);
  for (std::size_t index = 2; index < SessionFleet::CoreCount; ++index) {
    fleet_.core(index).process.freeze();
  }
  fleet_.run(seconds(2));
  EXPECT_EQ(state(), SessionState::Expired);
}

TEST_F(QuorumSessionClientTest, NoGraceAfterAFreeze) {
  front_.process.freeze();
  killCores(5);
  fleet_.run(seconds(3));
  front_.process.wake();
  fleet_.run(seconds(2));
  EXPECT_EQ(state(), SessionState::Expired);
}

TEST_F(QuorumSessionClientTest, FreezeWithinTheGraceEndsIt) {
  killCores(5);
  fleet_.run(seconds(2));
  ASSERT_EQ(state(), SessionState::ServingWithoutCore);
  front_.process.freeze();
  fleet_.run(milliseconds(1'500));
  EXPECT_EQ(state(), SessionState::Expired);
  front_.process.wake();
  fleet_.run(seconds(2));
  EXPECT_EQ(state(), SessionState::Expired);
}

TEST_F(QuorumSessionClientTest, ZeroGraceDisablesServingWithoutCore) {
  SessionTimes times;
  times.core_refused_grace = base::Duration::zero();
  const std::vector<base::NodeAddress> cores = front_.client->coreAddresses();
  front_.client =
      std::make_unique<QuorumSessionClient>(front_.process, *front_.calls, fleet_.random, times,
                                            cores, FrontIdentity{front_.address, 99, "zone"});
  front_.client->start();
  fleet_.run(seconds(1));
  ASSERT_EQ(state(), SessionState::Serving);
  killCores(5);
  fleet_.run(seconds(2));
  EXPECT_EQ(state(), SessionState::Expired);
}

TEST_F(QuorumSessionClientTest, CloseEndsOnceAMajorityRecordedItOrTheSessionExpired) {
  bool closed = false;
  front_.client->close([&] { closed = true; });
  EXPECT_EQ(state(), SessionState::Expired);
  ASSERT_TRUE(fleet_.runUntil([&] { return closed; }, milliseconds(100)));
  std::size_t listed = 0;
  for (std::size_t index = 0; index < SessionFleet::CoreCount; ++index) {
    listed += fleet_.core(index).table->localSessions().size();
  }
  EXPECT_LE(listed, SessionFleet::CoreCount * (SessionFleet::FrontCount - 1) + 2);
  killCores(5);
  bool expired = false;
  fleet_.front(1).client->close([&] { expired = true; });
  EXPECT_TRUE(fleet_.runUntil([&] { return expired; }, milliseconds(1'000)));
}

}  // namespace
}  // namespace switchsaddle::sessions
