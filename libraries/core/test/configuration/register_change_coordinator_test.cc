#include "switchsaddle/core/configuration/register_change_coordinator.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "change_fixture.h"
#include "fakes.h"

namespace switchsaddle::core {
namespace {

using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* RouteJson = R"({"models":["m"],"pool":"p","service":"completions"})";

configuration::Change changeOf(const std::string& id, std::uint64_t base,
                               const std::string& json = RouteJson) {
  configuration::Change change;
  change.change_id = id;
  change.base_version = base;
  change.set.push_back({"routes/r" + id, json});
  return change;
}

/** A front that applies pushed deltas and confirms them by its session. */
struct Front {
  Front(simulation::World& world, simulation::Network& network, FakeDirectory& directory,
        base::NodeAddress own_address)
      : address(own_address), process(world), transport(network.attach(address, process)) {
    directory.setSession(address, 0);
    calls.handle<wire::ConfigurationDelta>(
        [this, &directory](const auto&, const wire::ConfigurationDelta& delta, const auto&) {
          if (replica.apply(delta) == dissemination::ApplyOutcome::Applied && confirms) {
            directory.setSession(this->address, replica.version());
          }
        });
  }

  base::NodeAddress address;
  simulation::Process process;
  std::unique_ptr<transport::Transport> transport;
  transport::PeerCalls calls{process, *transport};
  journal::Journal journal{process};
  dissemination::ConfigurationReplica replica{journal};
  bool confirms = true;
};

class RegisterChangeCoordinatorTest : public ChangeFixture {
 protected:
  RegisterChangeCoordinatorTest() : ChangeFixture(3) {}

  ChangeAnswer submit(const configuration::Change& change, bool dry_run = false) {
    std::optional<ChangeAnswer> answer;
    const base::TimePoint before = world_.now();
    coordinator_.submit(change, dry_run, present(),
                        [&](const ChangeAnswer& result) { answer = result; });
    EXPECT_TRUE(world_.runUntil([&] { return answer.has_value(); }, seconds(10)));
    taken_ = world_.now() - before;
    return *answer;
  }

  /** @return a caller whose order arrives now. */
  Caller present() const { return {world_.now(), nullptr}; }
  ResultCode evacuate(const std::string& zone, bool evacuated, const Caller& caller) {
    std::optional<ChangeAnswer> answer;
    coordinator_.submitEvacuation(zone, evacuated, caller,
                                  [&](const ChangeAnswer& result) { answer = result; });
    EXPECT_TRUE(world_.runUntil([&] { return answer.has_value(); }, seconds(10)));
    return answer->code;
  }
  bool isEvacuated(const std::string& zone) const {
    return replica_.view()->evacuated_zones.contains(zone);
  }

  Front first_{world_, network_, directory_, {"127.0.0.1", 7001}};
  Front second_{world_, network_, directory_, {"127.0.0.1", 7002}};
  base::Duration taken_{};
};

TEST_F(RegisterChangeCoordinatorTest, AcknowledgesOnceEveryLiveFrontHasAppliedTheChange) {
  const ChangeAnswer answer = submit(changeOf("1", 0));
  EXPECT_EQ(answer.code, ResultCode::Ok);
  EXPECT_EQ(answer.version, 1U);
  EXPECT_EQ(first_.replica.version(), 1U);
  EXPECT_EQ(second_.replica.version(), 1U);
  EXPECT_LT(taken_, milliseconds(50));
}

TEST_F(RegisterChangeCoordinatorTest, SendsCommittedDeltasToPeersAndNothingElse) {
  std::vector<wire::ConfigurationDelta> sent;
  coordinator_.setCommittedListener([&](const wire::ConfigurationDelta& delta) {
    EXPECT_LT(replica_.version(), delta.to_version);
    sent.push_back(delta);
  });
  const std::string second_route = R"({"models":["n"],"pool":"p","service":"completions"})";
  EXPECT_EQ(submit(changeOf("1", 0)).code, ResultCode::Ok);
  EXPECT_EQ(submit(changeOf("2", 1, second_route)).code, ResultCode::Ok);
  EXPECT_EQ(submit(changeOf("3", 1)).code, ResultCode::ConfigurationConflict);
  EXPECT_TRUE(submit(changeOf("2", 1, second_route)).repeated);
  submit(changeOf("4", 2), true);
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[1].from_version, 1U);
  EXPECT_EQ(sent[1].to_version, 2U);
  EXPECT_EQ(sent[1].entries.size(), 1U);
  EXPECT_EQ(sent[1].digest, replica_.digest());
}

TEST_F(RegisterChangeCoordinatorTest, DoesNotAcknowledgeWhileOneFrontIsLagging) {
  second_.confirms = false;
  const ChangeAnswer answer = submit(changeOf("1", 0));
  EXPECT_EQ(answer.code, ResultCode::CommittedNotYetInForce);
  EXPECT_EQ(answer.version, 1U);
  EXPECT_EQ(taken_, seconds(2));
}

TEST_F(RegisterChangeCoordinatorTest, ARetryRepeatsTheOutcomeAndWaitsAgain) {
  second_.confirms = false;
  submit(changeOf("1", 0));
  ChangeAnswer again = submit(changeOf("1", 0));
  EXPECT_EQ(again.code, ResultCode::CommittedNotYetInForce);
  directory_.setSession(second_.address, 1);
  again = submit(changeOf("1", 0));
  EXPECT_EQ(again.code, ResultCode::Ok);
  EXPECT_EQ(again.version, 1U);
  EXPECT_TRUE(again.repeated);
}

TEST_F(RegisterChangeCoordinatorTest, AcknowledgesWhenTheSessionOfTheLastLaggingFrontExpires) {
  second_.confirms = false;
  std::optional<ChangeAnswer> answer;
  coordinator_.submit(changeOf("1", 0), false, present(),
                      [&](const ChangeAnswer& result) { answer = result; });
  world_.runFor(milliseconds(500));
  ASSERT_FALSE(answer.has_value());
  directory_.live.pop_back();
  world_.runFor(milliseconds(20));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->code, ResultCode::Ok);
}

TEST_F(RegisterChangeCoordinatorTest, ALostPushIsRetried) {
  network_.cut({"127.0.0.1", 7000}, second_.address);
  std::optional<ChangeAnswer> answer;
  coordinator_.submit(changeOf("1", 0), false, present(),
                      [&](const ChangeAnswer& result) { answer = result; });
  world_.runFor(milliseconds(300));
  EXPECT_FALSE(answer.has_value());
  network_.healAll();
  world_.runFor(milliseconds(300));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->code, ResultCode::Ok);
}

TEST_F(RegisterChangeCoordinatorTest, CommitsExactlyOneOfTwoChangesWithTheSameBaseVersion) {
  EXPECT_EQ(submit(changeOf("1", 0)).code, ResultCode::Ok);
  const ChangeAnswer loser = submit(changeOf("2", 0));
  EXPECT_EQ(loser.code, ResultCode::ConfigurationConflict);
  EXPECT_EQ(loser.version, 1U);
  EXPECT_LT(taken_, milliseconds(1)) << "a rejection does not wait";
  const ChangeAnswer again = submit(changeOf("2", 0));
  EXPECT_EQ(again.code, ResultCode::ConfigurationConflict);
  EXPECT_TRUE(again.repeated);
}

TEST_F(RegisterChangeCoordinatorTest, ReportsTheOutcomeOfTheCommittedRunOfTheChangeFunction) {
  proposer_.runs = 3;
  const ChangeAnswer answer = submit(changeOf("1", 0));
  EXPECT_EQ(answer.code, ResultCode::Ok);
  EXPECT_FALSE(answer.repeated);
}

TEST_F(RegisterChangeCoordinatorTest, RejectsInvalidChangesWithTheirFaults) {
  const ChangeAnswer answer = submit(changeOf("1", 0, "5"));
  EXPECT_EQ(answer.code, ResultCode::ConfigurationInvalid);
  EXPECT_FALSE(answer.faults.empty());
}

TEST_F(RegisterChangeCoordinatorTest, ADryRunChangesNothing) {
  EXPECT_EQ(submit(changeOf("1", 0), true).code, ResultCode::Ok);
  EXPECT_EQ(submit(changeOf("1", 7), true).code, ResultCode::ConfigurationConflict);
  EXPECT_TRUE(proposer_.value.empty());
  EXPECT_EQ(replica_.version(), 0U);
}

TEST_F(RegisterChangeCoordinatorTest, DoesNotAcknowledgeWithoutAQuorum) {
  proposer_.has_quorum = false;
  EXPECT_EQ(submit(changeOf("1", 0)).code, ResultCode::NoQuorum);
}

TEST_F(RegisterChangeCoordinatorTest, DoesNotAcknowledgeWithoutAReadingOfTheTables) {
  directory_.code = ResultCode::NoQuorum;
  EXPECT_EQ(submit(changeOf("1", 0)).code, ResultCode::CommittedNotYetInForce);
}

TEST_F(RegisterChangeCoordinatorTest, TheLogNamesEachChangeThatEnded) {
  submit(changeOf("1", 0));
  submit(changeOf("2", 0));
  EXPECT_EQ(evacuate("west", true, present()), ResultCode::Ok);
  std::vector<std::string> names;
  for (const base::Incident& incident : incidents_.all) {
    ASSERT_EQ(incident.event, "change-ended");
    EXPECT_EQ(incident.fields.front().key, "change");
    names.push_back(incident.fields.front().value);
  }
  EXPECT_EQ(names, (std::vector<std::string>{"1", "2", "evacuate/west"}));
}

TEST_F(RegisterChangeCoordinatorTest, AnOldOrderDoesNotUndoANewerOne) {
  world_.runFor(seconds(10));
  const Caller old{world_.now() - seconds(4), nullptr};
  EXPECT_EQ(evacuate("west", true, present()), ResultCode::Ok);
  EXPECT_EQ(evacuate("west", false, old), ResultCode::OrderExpired);
  EXPECT_TRUE(isEvacuated("west"));
  // What holds already is acknowledged to anyone.
  EXPECT_EQ(evacuate("west", true, old), ResultCode::Ok);
  EXPECT_EQ(evacuate("west", false, present()), ResultCode::Ok);
  EXPECT_FALSE(isEvacuated("west"));
}

TEST_F(RegisterChangeCoordinatorTest, AnOrderIsNotDecidedAfterItsCallerHasLeft) {
  const auto connection = std::make_shared<http::ClientPresence>();
  const Caller caller{world_.now(), connection};
  EXPECT_EQ(evacuate("west", true, caller), ResultCode::Ok);
  connection->leave();
  EXPECT_EQ(evacuate("west", false, caller), ResultCode::OrderExpired);
  EXPECT_TRUE(isEvacuated("west"));
}

TEST_F(RegisterChangeCoordinatorTest, AnOrderIsNotDecidedAnewAfterItsDeadline) {
  EXPECT_EQ(evacuate("west", true, present()), ResultCode::Ok);
  const Caller caller = present();
  proposer_.before_last_run = [this] { world_.runFor(seconds(3)); };
  proposer_.runs = 2;
  EXPECT_EQ(evacuate("west", false, caller), ResultCode::OrderExpired);
  EXPECT_TRUE(isEvacuated("west"));
}

TEST_F(RegisterChangeCoordinatorTest, OrdersWithAnIdentifierExpireToo) {
  world_.runFor(seconds(10));
  configuration::Change order = changeOf("1", configuration::AnyBaseVersion);
  std::optional<ChangeAnswer> answer;
  coordinator_.submit(order, false, {world_.now() - seconds(4), nullptr},
                      [&](const ChangeAnswer& result) { answer = result; });
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->code, ResultCode::OrderExpired);
  // A change that names its base is fenced by it.
  order.base_version = 0;
  answer.reset();
  coordinator_.submit(order, false, {world_.now() - seconds(4), nullptr},
                      [&](const ChangeAnswer& result) { answer = result; });
  EXPECT_TRUE(world_.runUntil([&] { return answer.has_value(); }, seconds(10)));
  EXPECT_EQ(answer->code, ResultCode::Ok);
}

TEST_F(RegisterChangeCoordinatorTest, AReadingBegunBeforeTheCommitDoesNotCount) {
  directory_.defers_replies = true;
  bool first_done = false;
  tracker_.wait(0, world_.now() + seconds(2),
                [&](const InForceOutcome& outcome) { first_done = outcome.in_force; });
  std::optional<ChangeAnswer> answer;
  coordinator_.submit(changeOf("1", 0), false, present(),
                      [&](const ChangeAnswer& result) { answer = result; });
  ASSERT_EQ(directory_.pending.size(), 1U);
  // The earlier reading returned no sessions.
  directory_.pending.front()(ResultCode::Ok, {});
  EXPECT_TRUE(first_done);
  EXPECT_FALSE(answer.has_value());
  directory_.defers_replies = false;
  world_.runFor(milliseconds(100));
  EXPECT_TRUE(answer.has_value());
}

}  // namespace
}  // namespace switchsaddle::core
