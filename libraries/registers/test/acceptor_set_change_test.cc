#include "switchsaddle/registers/acceptor_set_change.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "clients.h"
#include "keys.h"

namespace switchsaddle::registers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records the result of one change of the acceptor set. */
struct ChangeResult {
  std::optional<base::ResultCode> code;
  AcceptorSetChange::Callback callback() {
    return [this](base::ResultCode result) { code = result; };
  }
};

base::ResultCode replaceAndWait(TestCluster& cluster, std::size_t driver, std::size_t leaving,
                                std::size_t joining) {
  ChangeResult outcome;
  cluster.core(driver).change->replace(cluster.member(leaving), cluster.member(joining),
                                       outcome.callback());
  cluster.world.runUntil([&] { return outcome.code.has_value(); }, seconds(30));
  return outcome.code.value_or(base::ResultCode::InternalError);
}

/** Replaces all five members one by one. @return the number of keys that the new members have. */
std::size_t keysAfterReplacingAll(bool skip_transfer) {
  TestOptions options;
  options.change.test_skip_transfer = skip_transfer;
  options.scrubber.page_interval = std::chrono::hours(1);
  options.proposer.operation_deadline = seconds(20);
  TestCluster cluster(11, 5, options);
  cluster.world.runFor(milliseconds(20));
  EXPECT_TRUE(writeKeys(cluster));
  for (std::size_t leaving = 0; leaving < 5; ++leaving) {
    const std::size_t joining = cluster.addCore();
    cluster.world.runFor(seconds(1));
    EXPECT_EQ(replaceAndWait(cluster, joining, leaving, joining), base::ResultCode::Ok);
    cluster.wipe(leaving);
  }
  return countIntact(cluster, 5);
}

TEST(AcceptorSetChangeTest, ReplacingEveryMemberKeepsEveryRegister) {
  EXPECT_EQ(keysAfterReplacingAll(false), KeyCount);
}

/** Shows that the test above detects lost registers. */
TEST(AcceptorSetChangeTest, ReplacingWithoutTransferLosesRegisters) {
  EXPECT_LT(keysAfterReplacingAll(true), KeyCount);
}

TEST(AcceptorSetChangeTest, NewMemberHasEveryRegisterBeforeTheOldOneLeaves) {
  TestOptions options;
  options.proposer.operation_deadline = seconds(20);
  options.scrubber.page_interval = std::chrono::hours(1);
  TestCluster cluster(5, 5, options);
  cluster.world.runFor(milliseconds(20));
  EXPECT_TRUE(writeKeys(cluster));
  const std::size_t joining = cluster.addCore();
  cluster.world.runFor(seconds(1));
  ASSERT_EQ(replaceAndWait(cluster, 1, 0, joining), base::ResultCode::Ok);
  EXPECT_GE(cluster.core(joining).acceptor->registerCount(), KeyCount);
  // Right after the change, two of the other previous members lose their data as well.
  for (const std::size_t lost : {0, 1, 2}) {
    cluster.wipe(lost);
  }
  EXPECT_EQ(countIntact(cluster, joining), KeyCount);
}

TEST(AcceptorSetChangeTest, AddsAndRemovesMembers) {
  TestCluster cluster(6, 3);
  cluster.world.runFor(milliseconds(20));
  const std::size_t joining = cluster.addCore();
  cluster.world.runFor(seconds(1));
  ChangeResult added;
  cluster.core(0).change->add(cluster.member(joining), added.callback());
  cluster.world.runFor(seconds(2));
  EXPECT_EQ(added.code, base::ResultCode::Ok);
  EXPECT_EQ(cluster.core(0).acceptor->acceptorSet().members.size(), 4U);
  ChangeResult removed;
  cluster.core(0).change->remove(cluster.member(1), removed.callback());
  cluster.world.runFor(seconds(2));
  EXPECT_EQ(removed.code, base::ResultCode::Ok);
  EXPECT_FALSE(cluster.core(1).acceptor->mayVote());
  EXPECT_TRUE(cluster.core(joining).acceptor->mayVote());
}

constexpr const char* Key = "key";

TestOptions withoutScrubbing() {
  TestOptions options;
  options.scrubber.page_interval = std::chrono::hours(1);
  options.proposer.operation_deadline = seconds(20);
  return options;
}

void writeAndWait(TestCluster& cluster, std::size_t proposer, const std::string& value) {
  std::optional<base::ResultCode> code;
  cluster.core(proposer).proposer->change(
      Key, [value](const std::string&) { return value; },
      [&code](const RegisterOutcome& outcome) { code = outcome.code; });
  cluster.world.runUntil([&code] { return code.has_value(); }, seconds(20));
  EXPECT_EQ(code, base::ResultCode::Ok);
}

std::string readAndWait(TestCluster& cluster, std::size_t proposer) {
  std::optional<std::string> value;
  cluster.core(proposer).proposer->read(
      Key, [&value](const RegisterOutcome& outcome) { value = outcome.value; });
  cluster.world.runUntil([&value] { return value.has_value(); }, seconds(20));
  return value.value_or("(none)");
}

/** A proposer that is promised a ballot by two members and ends when one other has its value. */
void proposeAndAbandon(TestCluster& cluster, const std::vector<std::size_t>& promising,
                       std::size_t accepting, const std::string& value) {
  const wire::Ballot ballot{100'000, 1};
  const std::uint64_t epoch = cluster.core(0).acceptor->acceptorSet().epoch;
  transport::PeerCalls& calls = *cluster.core(accepting).calls;
  for (const std::size_t index : promising) {
    calls.call(cluster.core(index).address, wire::PrepareRequest{Key, ballot, epoch}, seconds(1),
               [](const transport::CallResult&) {});
  }
  calls.call(cluster.core(accepting).address, wire::AcceptRequest{Key, ballot, epoch, value, {}},
             seconds(1), [](const transport::CallResult&) {});
  cluster.world.runFor(seconds(1));
}

TEST(AcceptorSetChangeTest,
     AbandonedProposalAtAnUnreadMemberDisplacesNoValueChosenAfterReplacements) {
  TestCluster cluster(13, 3, withoutScrubbing());
  cluster.world.runFor(milliseconds(20));
  proposeAndAbandon(cluster, {0, 1}, 2, "abandoned");
  for (const std::size_t leaving : {1, 0}) {
    const std::size_t joining = cluster.addCore();
    cluster.world.runFor(seconds(1));
    const std::size_t driver = leaving == 1 ? 0 : 3;
    cluster.partition(driver, 2);
    ASSERT_EQ(replaceAndWait(cluster, driver, leaving, joining), base::ResultCode::Ok);
  }
  writeAndWait(cluster, 3, "chosen");
  cluster.network.healAll();
  cluster.partition(4, 3);
  EXPECT_EQ(readAndWait(cluster, 4), "chosen");
}

TEST(AcceptorSetChangeTest, ValueOfABareMajoritySurvivesTheRemovalOfTwoOfIt) {
  TestCluster cluster(14, 5, withoutScrubbing());
  cluster.world.runFor(milliseconds(20));
  cluster.partition(0, 3);
  cluster.partition(0, 4);
  writeAndWait(cluster, 0, "chosen");
  cluster.network.healAll();
  for (const std::size_t leaving : {0, 1}) {
    ChangeResult removed;
    cluster.core(2).change->remove(cluster.member(leaving), removed.callback());
    cluster.world.runFor(seconds(3));
    ASSERT_EQ(removed.code, base::ResultCode::Ok);
  }
  cluster.partition(3, 2);
  EXPECT_EQ(readAndWait(cluster, 3), "chosen");
}

/** One member loses its data, and the driver is killed at a time that depends on the seed. */
TEST(AcceptorSetChangeTest, AnotherCoreFinishesTheChangeAfterTheDriverFailed) {
  std::size_t replaced = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    TestCluster cluster(seed, 5);
    Clients clients(cluster);
    cluster.world.runFor(milliseconds(20));
    const std::size_t joining = cluster.addCore();
    cluster.world.runFor(milliseconds(600));
    cluster.network.conditions.loss = 0.01;
    clients.start(2);
    ChangeResult first;
    const wire::AcceptorMember lost = cluster.member(4);
    cluster.wipe(4);
    cluster.core(0).change->replace(lost, cluster.member(joining), first.callback());
    cluster.world.runFor(std::chrono::microseconds(seed * 300));
    cluster.kill(0);
    ChangeResult second;
    cluster.core(1).change->resume(second.callback());
    cluster.world.runUntil([&] { return second.code.has_value(); }, seconds(30));
    ASSERT_EQ(second.code, base::ResultCode::Ok) << "seed " << seed;
    const wire::AcceptorSet& set = cluster.core(1).acceptor->acceptorSet();
    EXPECT_TRUE(set.previous.empty()) << "seed " << seed;
    EXPECT_EQ(set.members.size(), 5U) << "seed " << seed;
    replaced += set.epoch == 3 ? 1 : 0;
    cluster.restart(0);
    cluster.world.runFor(seconds(2));
    clients.stop();
    cluster.world.runFor(seconds(3));
    EXPECT_EQ(clients.readOnce().code, base::ResultCode::Ok) << "seed " << seed;
    ASSERT_EQ(clients.history.violation(), "") << "seed " << seed;
  }
  RecordProperty("replaced", static_cast<int>(replaced));
  EXPECT_GT(replaced, 0U);
}

TEST(AcceptorSetChangeTest, ExactlyOneOfTwoConcurrentDriversReplacesAMember) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    TestCluster cluster(seed, 5);
    Clients clients(cluster);
    cluster.world.runFor(milliseconds(20));
    const std::size_t first_new = cluster.addCore();
    const std::size_t second_new = cluster.addCore();
    cluster.world.runFor(milliseconds(600));
    cluster.network.conditions.loss = 0.02;
    clients.start(2);
    ChangeResult first;
    ChangeResult second;
    cluster.core(0).change->replace(cluster.member(4), cluster.member(first_new), first.callback());
    cluster.world.runFor(std::chrono::microseconds(cluster.world.random().below(20000)));
    cluster.core(1).change->replace(cluster.member(4), cluster.member(second_new),
                                    second.callback());
    cluster.world.runUntil([&] { return first.code && second.code; }, seconds(30));
    const std::size_t successful_drivers = (first.code == base::ResultCode::Ok ? 1U : 0U) +
                                           (second.code == base::ResultCode::Ok ? 1U : 0U);
    EXPECT_EQ(successful_drivers, 1U) << "seed " << seed;
    EXPECT_EQ(cluster.core(0).acceptor->acceptorSet().members.size(), 5U) << "seed " << seed;
    clients.stop();
    cluster.world.runFor(seconds(3));
    ASSERT_EQ(clients.history.violation(), "") << "seed " << seed;
  }
}

TEST(AcceptorSetChangeTest, RollsBackWhenTheNewMemberFails) {
  TestCluster cluster(9, 5);
  cluster.world.runFor(milliseconds(20));
  const auto before = cluster.core(0).acceptor->acceptorSet().members;
  const std::size_t joining = cluster.addCore();
  cluster.world.runFor(seconds(1));
  cluster.kill(joining);
  EXPECT_EQ(replaceAndWait(cluster, 0, 4, joining), base::ResultCode::NoQuorum);
  EXPECT_EQ(cluster.core(0).acceptor->acceptorSet().members, before);
  EXPECT_TRUE(cluster.core(0).acceptor->acceptorSet().previous.empty());
  const std::size_t other = cluster.addCore();
  cluster.world.runFor(seconds(1));
  EXPECT_EQ(replaceAndWait(cluster, 0, 4, other), base::ResultCode::Ok);
}

TEST(AcceptorSetChangeTest, WipedCoreIsAdmittedAgainAtItsOldAddress) {
  TestCluster cluster(10, 5);
  cluster.world.runFor(milliseconds(20));
  const wire::AcceptorMember lost = cluster.member(2);
  cluster.wipe(2);
  cluster.restart(2);
  cluster.world.runFor(seconds(1));
  ChangeResult outcome;
  cluster.core(0).change->replace(lost, cluster.member(2), outcome.callback());
  cluster.world.runFor(seconds(3));
  EXPECT_EQ(outcome.code, base::ResultCode::Ok);
  EXPECT_TRUE(cluster.core(2).acceptor->mayVote());
}

/** The members have a newer set than the register, so that every swap fails. */
TEST(AcceptorSetChangeTest, RetriesWithPausesUntilNoQuorumWhenTheRegisterLagsBehindTheMembers) {
  TestCluster cluster(12, 5);
  cluster.world.runFor(milliseconds(20));
  wire::AcceptorSet ahead = cluster.core(0).acceptor->acceptorSet();
  ahead.epoch += 4;
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    cluster.core(index).acceptor->installSet(ahead, [](bool) {});
  }
  const std::size_t joining = cluster.addCore();
  cluster.world.runFor(seconds(1));
  ChangeResult outcome;
  cluster.core(0).change->replace(cluster.member(4), cluster.member(joining), outcome.callback());
  const std::uint64_t attempts_before = cluster.core(0).proposer->counters().attempts;
  cluster.world.runFor(seconds(1));
  // At most two attempts for each retry pause.
  EXPECT_LE(cluster.core(0).proposer->counters().attempts - attempts_before, 42U);
  cluster.world.runFor(seconds(9));
  EXPECT_EQ(outcome.code, base::ResultCode::NoQuorum);
}

/** Members are wiped and replaced one after the other under further faults. */
TEST(AcceptorSetChangeTest, HistoriesAreLinearizableAcrossReplacementsUnderFaults) {
  std::size_t replaced = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    TestCluster cluster(seed, 5);
    Clients clients(cluster);
    FaultInjector faults(cluster, 0);
    cluster.world.runFor(milliseconds(20));
    clients.start(3);
    for (std::size_t leaving = 0; leaving < 3; ++leaving) {
      const std::size_t joining = cluster.addCore();
      cluster.world.runFor(milliseconds(600));
      cluster.network.conditions.loss = 0.02;
      ChangeResult outcome;
      TestCore& driver = cluster.core(cluster.coreWithAcceptorSet());
      driver.change->replace(cluster.member(leaving), cluster.member(joining), outcome.callback());
      faults.run(seconds(1));
      faults.heal();
      cluster.world.runFor(seconds(1));
      ChangeResult resumed;
      cluster.core(joining).change->resume(resumed.callback());
      cluster.world.runUntil([&] { return resumed.code.has_value(); }, seconds(30));
      const auto& members = cluster.core(joining).acceptor->acceptorSet().members;
      const bool is_member =
          std::find(members.begin(), members.end(), cluster.member(joining)) != members.end();
      if (is_member && resumed.code == base::ResultCode::Ok) {
        ++replaced;
        cluster.wipe(leaving);
        cluster.restart(leaving);
      }
    }
    clients.stop();
    faults.heal();
    cluster.world.runFor(seconds(5));
    EXPECT_EQ(clients.readOnce().code, base::ResultCode::Ok) << "seed " << seed;
    ASSERT_EQ(clients.history.violation(), "") << "seed " << seed;
  }
  RecordProperty("replaced", static_cast<int>(replaced));
  EXPECT_GT(replaced, 60U);
}

}  // namespace
}  // namespace switchsaddle::registers
