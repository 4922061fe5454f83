#include "switchsaddle/registers/acceptor.h"

#include <gtest/gtest.h>

#include "switchsaddle/wire/stored_record.h"
#include "test_cluster.h"

namespace switchsaddle::registers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* Key = "configuration";

/** Three core nodes; the tests send requests from the second to the acceptor of the first. */
class AcceptorTest : public testing::Test {
 protected:
  AcceptorTest() : cluster_(1, 3) { cluster_.world.runFor(milliseconds(20)); }

  template <class Reply, class Request>
  std::optional<Reply> request(const Request& message) {
    std::optional<Reply> reply;
    bool ended = false;
    cluster_.core(1).calls->call(cluster_.core(0).address, message, seconds(1),
                                 [&](const transport::CallResult& result) {
                                   ended = true;
                                   if (const auto* answer = result.as<Reply>()) {
                                     reply = *answer;
                                   }
                                 });
    cluster_.world.runUntil([&] { return ended; }, seconds(2));
    return reply;
  }
  wire::RegisterReply prepare(std::uint64_t round, std::uint64_t epoch = 1) {
    return request<wire::RegisterReply>(wire::PrepareRequest{Key, {round, 1}, epoch}).value();
  }
  wire::RegisterReply accept(std::uint64_t round, const std::string& value) {
    return request<wire::RegisterReply>(wire::AcceptRequest{Key, {round, 1}, 1, value, {}}).value();
  }
  bool install(std::uint64_t round, const std::string& value) {
    const wire::RegisterScanEntry entry{Key, {}, {round, 1}, value, {}};
    return request<wire::RegisterInstallReply>(wire::RegisterInstallRequest{{entry}, 1, {}})
        ->synced;
  }
  Acceptor& acceptor() { return *cluster_.core(0).acceptor; }
  TestDisk& disk() { return cluster_.core(0).disk; }

  TestCluster cluster_;
};

TEST_F(AcceptorTest, KeepsPromisedBallotsAndValuesAfterARestart) {
  EXPECT_EQ(prepare(5).verdict, wire::RegisterVerdict::Granted);
  EXPECT_EQ(accept(5, "five").verdict, wire::RegisterVerdict::Granted);
  EXPECT_EQ(prepare(8).accepted.round, 5U);
  cluster_.kill(0);
  cluster_.restart(0);
  cluster_.world.runFor(milliseconds(20));
  EXPECT_EQ(accept(7, "seven").verdict, wire::RegisterVerdict::Refused);
  const wire::RegisterReply answer = prepare(9);
  EXPECT_EQ(answer.verdict, wire::RegisterVerdict::Granted);
  EXPECT_EQ(answer.value, "five");
}

TEST_F(AcceptorTest, LoadsRecordsWithoutTheTimeOfAcceptance) {
  cluster_.kill(0);
  const wire::Ballot ballot{4, 1};
  disk().records["register/old"] =
      wire::writeRecord(ballot, ballot, std::string("kept"), std::vector<wire::Ballot>{});
  cluster_.restart(0);
  cluster_.world.runFor(milliseconds(20));
  ASSERT_NE(acceptor().acceptedValue("old"), nullptr);
  EXPECT_EQ(*acceptor().acceptedValue("old"), "kept");
}

/** Kills the node at different times of a request; what it has answered must be on its disk. */
TEST_F(AcceptorTest, AnswersOnlyAfterThePromiseIsSynced) {
  for (std::uint64_t round = 1; round <= 100; ++round) {
    bool granted = false;
    cluster_.core(1).calls->call(cluster_.core(0).address, wire::PrepareRequest{Key, {round, 1}, 1},
                                 seconds(1), [&](const transport::CallResult& result) {
                                   const auto* answer = result.as<wire::RegisterReply>();
                                   granted = answer != nullptr &&
                                             answer->verdict == wire::RegisterVerdict::Granted;
                                 });
    cluster_.world.runFor(std::chrono::microseconds(round * 80));
    cluster_.kill(0);
    // The answer may be in flight when the node is killed.
    cluster_.world.runFor(milliseconds(5));
    cluster_.restart(0);
    cluster_.world.runFor(milliseconds(5));
    if (granted) {
      EXPECT_GE(acceptor().entry(Key)->promised.round, round);
    }
  }
}

TEST_F(AcceptorTest, AnswersUnavailableWhileTheDiskFailsAndReloadsAfterwards) {
  EXPECT_EQ(accept(1, "one").verdict, wire::RegisterVerdict::Granted);
  disk().failing = true;
  EXPECT_EQ(accept(2, "two").verdict, wire::RegisterVerdict::Unavailable);
  EXPECT_FALSE(acceptor().mayVote());
  disk().failing = false;
  EXPECT_EQ(prepare(3).verdict, wire::RegisterVerdict::Unavailable);
  cluster_.world.runFor(seconds(2));
  EXPECT_TRUE(acceptor().mayVote());
  EXPECT_EQ(*acceptor().acceptedValue(Key), "one");
}

TEST_F(AcceptorTest, RejectsACommitSubmittedBeforeAnEarlierOneFailed) {
  wire::AcceptorSet newer = acceptor().acceptorSet();
  newer.epoch = 2;
  // Long enough for the request to arrive while the previous commit is in progress.
  disk().extra_delay = milliseconds(20);
  disk().full_for_one_commit = true;
  std::optional<bool> installed;
  acceptor().installSet(newer, [&](bool synced) { installed = synced; });
  EXPECT_EQ(prepare(1, 2).verdict, wire::RegisterVerdict::Unavailable);
  EXPECT_EQ(installed, false);
  cluster_.world.runFor(seconds(2));
  EXPECT_EQ(acceptor().acceptorSet().epoch, 1U);
}

TEST_F(AcceptorTest, AnswersUnavailableWhenACommitExceedsItsBound) {
  disk().extra_delay = milliseconds(700);
  const base::TimePoint requested_at = cluster_.world.now();
  EXPECT_EQ(prepare(1).verdict, wire::RegisterVerdict::Unavailable);
  EXPECT_LT(cluster_.world.now() - requested_at, milliseconds(600));
}

TEST_F(AcceptorTest, SendsItsSetToLaggingProposersAndRejectsNewerEpochs) {
  wire::AcceptorSet newer = acceptor().acceptorSet();
  newer.epoch = 4;
  EXPECT_TRUE(
      request<wire::AcceptorSetInstallReply>(wire::AcceptorSetInstallRequest{newer})->synced);
  const wire::RegisterReply older = prepare(1, 3);
  EXPECT_EQ(older.verdict, wire::RegisterVerdict::OtherAcceptorSet);
  EXPECT_EQ(older.newer_set.epoch, 4U);
  EXPECT_EQ(prepare(1, 5).verdict, wire::RegisterVerdict::Unavailable);
  EXPECT_EQ(prepare(1, 4).verdict, wire::RegisterVerdict::Granted);
}

TEST_F(AcceptorTest, WipedInstanceDoesNotVote) {
  cluster_.wipe(0);
  cluster_.restart(0);
  cluster_.world.runFor(seconds(1));
  EXPECT_EQ(acceptor().acceptorSet().epoch, 1U);
  EXPECT_EQ(prepare(1).verdict, wire::RegisterVerdict::Unavailable);
  EXPECT_FALSE(install(1, "one"));
}

TEST_F(AcceptorTest, InstallsCopiesOnlyByTheAcceptRule) {
  EXPECT_TRUE(install(3, "three"));
  EXPECT_TRUE(install(2, "two"));
  EXPECT_EQ(*acceptor().acceptedValue(Key), "three");
  EXPECT_EQ(prepare(6).verdict, wire::RegisterVerdict::Granted);
  EXPECT_FALSE(install(5, "five"));
  EXPECT_EQ(*acceptor().acceptedValue(Key), "three");
}

TEST_F(AcceptorTest, RejectsPrepareForADamagedRegisterUntilItIsAccepted) {
  EXPECT_EQ(accept(1, "one").verdict, wire::RegisterVerdict::Granted);
  EXPECT_EQ(acceptor().markDamaged(std::string("register/") + Key), Key);
  EXPECT_EQ(prepare(2).verdict, wire::RegisterVerdict::Unavailable);
  EXPECT_EQ(accept(2, "one").verdict, wire::RegisterVerdict::Granted);
  EXPECT_EQ(prepare(3).verdict, wire::RegisterVerdict::Granted);
}

}  // namespace
}  // namespace switchsaddle::registers
