#include <gtest/gtest.h>

#include "slot_fleet.h"

namespace switchsaddle::admission::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Limit = 12;

/** A front whose every message the test writes, so that old ones may come late. */
struct ScriptedFront {
  ScriptedFront(simulation::World& world, simulation::Network& network)
      : process(world), transport(network.attach(address, process)), calls(process, *transport) {
    calls.handle<wire::SlotRecall>([this](const base::NodeAddress&, const wire::SlotRecall& recall,
                                          const transport::ReplyFunction& reply) {
      ++recalls;
      if (answer_recall) {
        reply(answer_recall(recall));
      }
    });
  }

  wire::SlotRequest message(std::uint64_t sequence, std::uint32_t held, std::uint32_t wanted) {
    wire::SlotRequest request;
    request.branch = branch;
    request.front = address;
    request.front_instance = instance;
    request.sequence = sequence;
    request.held = held;
    request.in_use = held;
    request.wanted = wanted;
    return request;
  }
  wire::SlotReport reportOf(std::uint64_t sequence, std::uint32_t held) const {
    wire::SlotReport report;
    report.front_instance = instance;
    report.term_accepted = true;
    report.allocations = {{branch, sequence, held, held}};
    return report;
  }

  base::NodeAddress address{"127.0.0.3", 300};
  std::string branch = branchOfShardZero();
  simulation::Process process;
  std::unique_ptr<transport::Transport> transport;
  transport::PeerCalls calls;
  std::uint64_t instance = 7;
  int recalls = 0;
  std::function<wire::SlotReport(const wire::SlotRecall&)> answer_recall;
};

class LedgerProtocolTest : public ::testing::Test {
 protected:
  LedgerProtocolTest() { core.ledger->setLimits({{front.branch, Limit}}); }

  void acquireLease() {
    if (core.has_lease) {
      core.has_lease = false;
      core.ledger->onLeaseLost();
    }
    core.has_lease = true;
    ++core.lease_term;
    core.ledger->onLeaseGained();
    world.runFor(milliseconds(50));
  }
  /** Hands a message to the ledger and returns the answer it has after a while. */
  std::optional<wire::SlotReply> tell(const wire::SlotRequest& request) {
    std::optional<wire::SlotReply> answer;
    core.ledger->onRequest(request, [&answer](const wire::Message& message) {
      answer = std::get<wire::SlotReply>(message);
    });
    world.runFor(milliseconds(300));
    return answer;
  }
  std::uint32_t held() const { return core.ledger->allocatedSlots(front.branch); }

  simulation::World world{1};
  simulation::Network network{world};
  SharedRegister shared{world};
  LedgerNode core{world, network, shared, {"127.0.0.1", 100}};
  ScriptedFront front{world, network};
};

TEST_F(LedgerProtocolTest, ASuccessorDoesNotBelieveAMessageOlderThanItsPredecessorsGrants) {
  acquireLease();
  ASSERT_EQ(tell(front.message(2, 0, 5))->granted, 5U);
  acquireLease();
  // Sent before the grant and held up on the way; the front has five slots in use.
  const auto late = tell(front.message(1, 0, 0));
  EXPECT_GE(held(), 5U);
  EXPECT_TRUE(late && late->is_ledger && late->granted == 0);
  front.answer_recall = [this](const wire::SlotRecall&) { return front.reportOf(3, 5); };
  tell(front.message(4, 5, 0));
  EXPECT_EQ(held(), 5U);
}

TEST_F(LedgerProtocolTest, AMessageOfAnEarlierInstanceDoesNotFreeTheSlotsOfTheLivingOne) {
  acquireLease();
  ASSERT_EQ(tell(front.message(1, 0, 5))->granted, 5U);
  front.answer_recall = [this](const wire::SlotRecall&) { return front.reportOf(2, 5); };
  wire::SlotRequest late = front.message(9, 0, 1);
  late.front_instance = 6;
  tell(late);
  EXPECT_GE(held(), 5U);
}

TEST_F(LedgerProtocolTest, ALaterInstanceFreesTheSlotsOfTheEarlierOne) {
  acquireLease();
  ASSERT_EQ(tell(front.message(1, 0, 5))->granted, 5U);
  front.instance = 8;
  front.answer_recall = [this](const wire::SlotRecall&) { return front.reportOf(2, 1); };
  ASSERT_EQ(tell(front.message(1, 0, 1))->granted, 1U);
  EXPECT_EQ(held(), 6U) << "what the earlier one began may still run";
  world.runFor(seconds(1));
  tell(front.message(3, 1, 1));
  EXPECT_EQ(held(), 2U);
}

TEST_F(LedgerProtocolTest, AReportThatAFirstRequestOvertookDoesNotFreeItsSlots) {
  acquireLease();
  ASSERT_EQ(tell(front.message(1, 0, 5))->granted, 5U);
  front.answer_recall = [this](const wire::SlotRecall&) {
    wire::SlotReport report = front.reportOf(0, 0);
    report.allocations.clear();
    return report;
  };
  wire::SlotRequest other = front.message(9, 0, 1);
  other.front_instance = 6;  // Makes the ledger ask who lives at the address.
  tell(other);
  EXPECT_GE(held(), 5U);
}

TEST_F(LedgerProtocolTest, AFrontWithALongStreamIsAskedBeforeItsSlotsCountAsFree) {
  core.ledger->setLongestUse(std::chrono::hours(1));
  acquireLease();
  ASSERT_EQ(tell(front.message(1, 0, Limit))->granted, Limit);
  world.runFor(std::chrono::minutes(10));
  wire::SlotRequest other = front.message(1, 0, 1);
  other.front = {"127.0.0.4", 300};
  const auto answer = tell(other);
  EXPECT_EQ(front.recalls, 1);
  EXPECT_TRUE(answer && answer->granted == 0 && !answer->exhausted);
  world.runFor(std::chrono::minutes(55));
  other.sequence = 2;
  EXPECT_EQ(tell(other)->granted, 1U);
}

TEST_F(LedgerProtocolTest, RequestsThatWaitAreAnsweredWhenTheLeaseIsLost) {
  acquireLease();
  ASSERT_EQ(tell(front.message(1, 0, Limit))->granted, Limit);
  wire::SlotRequest other = front.message(1, 0, 1);
  other.front = {"127.0.0.4", 300};
  std::optional<wire::SlotReply> answer;
  core.ledger->onRequest(other, [&answer](const wire::Message& message) {
    answer = std::get<wire::SlotReply>(message);
  });
  EXPECT_FALSE(answer);
  core.has_lease = false;
  core.ledger->onLeaseLost();
  EXPECT_TRUE(answer && !answer->is_ledger);
}

TEST_F(LedgerProtocolTest, AnOvertakenRequestIsAnsweredAtOnce) {
  acquireLease();
  ASSERT_EQ(tell(front.message(5, 0, 2))->granted, 2U);
  const auto answer = tell(front.message(4, 0, 2));
  EXPECT_TRUE(answer && answer->is_ledger && answer->granted == 0 && !answer->exhausted);
  EXPECT_EQ(held(), 2U);
}

TEST_F(LedgerProtocolTest, AFrontThatWaitsIsRecalledTooAndItsGrantStandsOnTheReport) {
  acquireLease();
  ASSERT_EQ(tell(front.message(1, 0, Limit))->granted, Limit);
  // It asks for one more, and by the time of the recall it uses two fewer.
  front.answer_recall = [this](const wire::SlotRecall&) { return front.reportOf(3, Limit - 2); };
  const auto answer = tell(front.message(2, Limit, 1));
  EXPECT_TRUE(answer && answer->sequence == 3 && answer->granted == 1);
  EXPECT_EQ(held(), Limit - 1);
}

TEST_F(LedgerProtocolTest, ASmallerLimitDrainsWithoutNewGrants) {
  acquireLease();
  ASSERT_EQ(tell(front.message(1, 0, 10))->granted, 10U);
  core.ledger->setLimits({{front.branch, 4}});
  std::uint64_t told = 2;
  std::uint32_t used = 6;
  front.answer_recall = [&](const wire::SlotRecall&) { return front.reportOf(++told, used); };
  const auto above = tell(front.message(2, 6, 2));
  EXPECT_TRUE(above->exhausted && above->granted == 0);
  used = 3;
  EXPECT_EQ(tell(front.message(++told, 3, 2))->granted, 1U);
  core.ledger->setLimits({});
  used = 0;
  const auto removed = tell(front.message(++told, 0, 1));
  EXPECT_TRUE(removed->granted == 0 && !removed->exhausted);
}

TEST_F(LedgerProtocolTest, NoRefusalIsCertainWhileAGrantWaitsForItsReservation) {
  acquireLease();
  shared.available = false;
  std::optional<wire::SlotReply> first;
  core.ledger->onRequest(front.message(1, 0, Limit), [&first](const wire::Message& message) {
    first = std::get<wire::SlotReply>(message);
  });
  wire::SlotRequest other = front.message(1, 0, 1);
  other.front = {"127.0.0.4", 300};
  const auto second = tell(other);
  EXPECT_TRUE(first && first->granted == 0 && !first->exhausted);
  EXPECT_TRUE(second && second->granted == 0 && !second->exhausted);
}

/** Slots in use of `Limit` once an old ledger's late write has met its successor's. */
int usedAfterLateWrite(bool fenced) {
  simulation::World world{1};
  simulation::Network network{world};
  SharedRegister shared{world};
  SlotLedgerOptions options;
  options.fence_by_term = fenced;
  const std::string branch = branchOfShardZero();
  std::vector<base::NodeAddress> addresses;
  std::vector<std::unique_ptr<LedgerNode>> cores;
  for (std::uint16_t index = 0; index < 3; ++index) {
    addresses.push_back({"127.0.0.1", static_cast<std::uint16_t>(100 + index)});
    cores.push_back(
        std::make_unique<LedgerNode>(world, network, shared, addresses[index], options));
    cores[index]->ledger->setLimits({{branch, Limit}});
  }
  FrontNode first(world, network, {"127.0.0.2", 200}, addresses);
  FrontNode second(world, network, {"127.0.0.2", 201}, addresses);
  const auto takeOver = [&](std::size_t index) {
    cores[index]->has_lease = true;
    cores[index]->lease_term = index + 1;
    cores[index]->ledger->onLeaseGained();
    world.runFor(milliseconds(50));
  };
  takeOver(0);
  // The first ledger's write is held up until its successor has granted all slots.
  shared.extra_delay = seconds(2);
  wire::SlotRequest request;
  request.branch = branch;
  request.front = {"127.0.0.9", 1};
  request.sequence = 1;
  request.wanted = 1;
  cores[0]->ledger->onRequest(request, [](const wire::Message&) {});
  shared.extra_delay = {};
  cores[0]->has_lease = false;
  takeOver(1);
  for (std::uint32_t index = 0; index < Limit; ++index) {
    first.request(branch, seconds(60));
  }
  world.runFor(seconds(3));
  // The front freezes with its slots in use, and a third ledger knows of it from the register.
  first.process.freeze();
  cores[1]->has_lease = false;
  cores[1]->ledger->onLeaseLost();
  takeOver(2);
  for (std::uint32_t index = 0; index < Limit; ++index) {
    second.request(branch, seconds(60));
  }
  world.runFor(seconds(3));
  return static_cast<int>(first.holds.size() + second.holds.size());
}

TEST(LedgerFenceTest, ALateWriteOfAnEarlierTermDoesNotUndoReservations) {
  EXPECT_EQ(usedAfterLateWrite(true), static_cast<int>(Limit));
}

TEST(LedgerFenceTest, WithoutTheFenceTheBranchIsExceeded) {
  EXPECT_GT(usedAfterLateWrite(false), static_cast<int>(Limit));
}

TEST(LedgerSlotBrokerTest, KeepsItsIdleSlotsWhileNoCoreListens) {
  simulation::World world{1};
  simulation::Network network{world};
  SharedRegister shared{world};
  auto core =
      std::make_unique<LedgerNode>(world, network, shared, base::NodeAddress{"127.0.0.1", 100});
  FrontNode front(world, network, {"127.0.0.2", 200}, {{"127.0.0.1", 100}});
  const std::string branch = branchOfShardZero();
  core->ledger->setLimits({{branch, Limit}});
  core->has_lease = true;
  core->lease_term = 1;
  core->ledger->onLeaseGained();
  world.runFor(milliseconds(50));
  front.request(branch, seconds(1));
  world.runFor(milliseconds(50));
  core->process.kill();
  core.reset();
  for (int second = 0; second < 5; ++second) {
    world.runFor(seconds(1));
    front.request(branch, seconds(1));
  }
  world.runFor(milliseconds(100));
  EXPECT_EQ(front.answers[base::ResultCode::Ok], 6);
}

}  // namespace
}  // namespace switchsaddle::admission::testing
