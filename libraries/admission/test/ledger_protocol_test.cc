#include <gtest/gtest.h>

#include "slot_fleet.h"

namespace switchsaddle::admission::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Limit = 12;

/** A front whose messages the test creates, so that it can deliver old ones late. */
struct ScriptedFront {
  ScriptedFront(simulation::World& world, simulation::Network& network)
      : process(world), transport(network.attach(address, process)), calls(process, *transport) {
    calls.handle<wire::SlotRecall>([this](const base::NodeAddress&, const wire::SlotRecall& recall,
                                          const transport::ReplyFunction& reply) {
      ++recalls;
      if (reply_to_recall) {
        reply(reply_to_recall(recall));
      }
    });
  }

  wire::SlotRequest message(std::uint64_t sequence, std::uint32_t allocated,
                            std::uint32_t requested) {
    wire::SlotRequest request;
    request.branch = branch;
    request.front = address;
    request.front_instance = instance;
    request.sequence = sequence;
    request.allocated = allocated;
    request.in_use = allocated;
    request.requested = requested;
    return request;
  }
  wire::SlotReport reportOf(std::uint64_t sequence, std::uint32_t allocated) const {
    wire::SlotReport report;
    report.front_instance = instance;
    report.term_accepted = true;
    report.allocations = {{branch, sequence, allocated, allocated}};
    return report;
  }

  base::NodeAddress address{"127.0.0.3", 300};
  std::string branch = branchOfShardZero();
  simulation::Process process;
  std::unique_ptr<transport::Transport> transport;
  transport::PeerCalls calls;
  std::uint64_t instance = 7;
  int recalls = 0;
  std::function<wire::SlotReport(const wire::SlotRecall&)> reply_to_recall;
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
  /** Delivers a message to the ledger. @return the reply, if there is one after a while. */
  std::optional<wire::SlotReply> deliver(const wire::SlotRequest& request) {
    std::optional<wire::SlotReply> reply;
    core.ledger->onRequest(request, [&reply](const wire::Message& message) {
      reply = std::get<wire::SlotReply>(message);
    });
    world.runFor(milliseconds(300));
    return reply;
  }
  std::uint32_t allocated() const { return core.ledger->allocatedSlots(front.branch); }

  simulation::World world{1};
  simulation::Network network{world};
  SharedRegister shared{world};
  LedgerNode core{world, network, shared, {"127.0.0.1", 100}};
  ScriptedFront front{world, network};
};

TEST_F(LedgerProtocolTest, SuccessorIgnoresAMessageOlderThanItsPredecessorsGrants) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(2, 0, 5))->granted, 5U);
  acquireLease();
  // Sent before the grant and delayed in the network; the front has five slots in use.
  const auto late = deliver(front.message(1, 0, 0));
  EXPECT_GE(allocated(), 5U);
  EXPECT_TRUE(late && late->is_ledger && late->granted == 0);
  front.reply_to_recall = [this](const wire::SlotRecall&) { return front.reportOf(3, 5); };
  deliver(front.message(4, 5, 0));
  EXPECT_EQ(allocated(), 5U);
}

TEST_F(LedgerProtocolTest, MessageOfAnEarlierInstanceDoesNotReleaseSlotsOfTheLiveInstance) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(1, 0, 5))->granted, 5U);
  front.reply_to_recall = [this](const wire::SlotRecall&) { return front.reportOf(2, 5); };
  wire::SlotRequest late = front.message(9, 0, 1);
  late.front_instance = 6;
  deliver(late);
  EXPECT_GE(allocated(), 5U);
}

TEST_F(LedgerProtocolTest, LaterInstanceReleasesTheSlotsOfTheEarlierInstance) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(1, 0, 5))->granted, 5U);
  front.instance = 8;
  front.reply_to_recall = [this](const wire::SlotRecall&) { return front.reportOf(2, 1); };
  ASSERT_EQ(deliver(front.message(1, 0, 1))->granted, 1U);
  EXPECT_EQ(allocated(), 6U) << "requests of the earlier instance may still run";
  world.runFor(seconds(1));
  deliver(front.message(3, 1, 1));
  EXPECT_EQ(allocated(), 2U);
}

TEST_F(LedgerProtocolTest, AReportOvertakenByAFirstRequestDoesNotReleaseItsSlots) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(1, 0, 5))->granted, 5U);
  front.reply_to_recall = [this](const wire::SlotRecall&) {
    wire::SlotReport report = front.reportOf(0, 0);
    report.allocations.clear();
    return report;
  };
  wire::SlotRequest other = front.message(9, 0, 1);
  other.front_instance = 6;  // Makes the ledger query the instance at the address.
  deliver(other);
  EXPECT_GE(allocated(), 5U);
}

TEST_F(LedgerProtocolTest, AFrontWithALongStreamIsRecalledBeforeItsSlotsCountAsFree) {
  core.ledger->setLongestUse(std::chrono::hours(1));
  acquireLease();
  ASSERT_EQ(deliver(front.message(1, 0, Limit))->granted, Limit);
  world.runFor(std::chrono::minutes(10));
  wire::SlotRequest other = front.message(1, 0, 1);
  other.front = {"127.0.0.4", 300};
  const auto reply = deliver(other);
  EXPECT_EQ(front.recalls, 1);
  EXPECT_TRUE(reply && reply->granted == 0 && !reply->exhausted);
  world.runFor(std::chrono::minutes(55));
  other.sequence = 2;
  EXPECT_EQ(deliver(other)->granted, 1U);
}

TEST_F(LedgerProtocolTest, QueuedRequestsAreRejectedWhenTheLeaseIsLost) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(1, 0, Limit))->granted, Limit);
  wire::SlotRequest other = front.message(1, 0, 1);
  other.front = {"127.0.0.4", 300};
  std::optional<wire::SlotReply> reply;
  core.ledger->onRequest(other, [&reply](const wire::Message& message) {
    reply = std::get<wire::SlotReply>(message);
  });
  EXPECT_FALSE(reply);
  core.has_lease = false;
  core.ledger->onLeaseLost();
  EXPECT_TRUE(reply && !reply->is_ledger);
}

TEST_F(LedgerProtocolTest, AnOvertakenRequestIsRejectedAtOnce) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(5, 0, 2))->granted, 2U);
  const auto reply = deliver(front.message(4, 0, 2));
  EXPECT_TRUE(reply && reply->is_ledger && reply->granted == 0 && !reply->exhausted);
  EXPECT_EQ(allocated(), 2U);
}

TEST_F(LedgerProtocolTest, AQueuedFrontIsRecalledTooAndItsGrantIsBasedOnTheReport) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(1, 0, Limit))->granted, Limit);
  // The front requests one more slot; at the time of the recall it uses two fewer.
  front.reply_to_recall = [this](const wire::SlotRecall&) { return front.reportOf(3, Limit - 2); };
  const auto reply = deliver(front.message(2, Limit, 1));
  EXPECT_TRUE(reply && reply->sequence == 3 && reply->granted == 1);
  EXPECT_EQ(allocated(), Limit - 1);
}

TEST_F(LedgerProtocolTest, ASmallerLimitTakesEffectWithoutNewGrants) {
  acquireLease();
  ASSERT_EQ(deliver(front.message(1, 0, 10))->granted, 10U);
  core.ledger->setLimits({{front.branch, 4}});
  std::uint64_t sequence = 2;
  std::uint32_t used = 6;
  front.reply_to_recall = [&](const wire::SlotRecall&) { return front.reportOf(++sequence, used); };
  const auto above = deliver(front.message(2, 6, 2));
  EXPECT_TRUE(above->exhausted && above->granted == 0);
  used = 3;
  EXPECT_EQ(deliver(front.message(++sequence, 3, 2))->granted, 1U);
  core.ledger->setLimits({});
  used = 0;
  const auto removed = deliver(front.message(++sequence, 0, 1));
  EXPECT_TRUE(removed->granted == 0 && !removed->exhausted);
}

TEST_F(LedgerProtocolTest, DoesNotReportExhaustionWhileAGrantWaitsForItsReservation) {
  acquireLease();
  shared.available = false;
  std::optional<wire::SlotReply> first;
  core.ledger->onRequest(front.message(1, 0, Limit), [&first](const wire::Message& message) {
    first = std::get<wire::SlotReply>(message);
  });
  wire::SlotRequest other = front.message(1, 0, 1);
  other.front = {"127.0.0.4", 300};
  const auto second = deliver(other);
  EXPECT_TRUE(first && first->granted == 0 && !first->exhausted);
  EXPECT_TRUE(second && second->granted == 0 && !second->exhausted);
}

/** Slots in use of `Limit` after a late write of an earlier ledger. */
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
  const auto take_over_lease = [&](std::size_t index) {
    cores[index]->has_lease = true;
    cores[index]->lease_term = index + 1;
    cores[index]->ledger->onLeaseGained();
    world.runFor(milliseconds(50));
  };
  take_over_lease(0);
  // The first ledger's write is delayed until its successor has granted all slots.
  shared.extra_delay = seconds(2);
  wire::SlotRequest request;
  request.branch = branch;
  request.front = {"127.0.0.9", 1};
  request.sequence = 1;
  request.requested = 1;
  cores[0]->ledger->onRequest(request, [](const wire::Message&) {});
  shared.extra_delay = {};
  cores[0]->has_lease = false;
  take_over_lease(1);
  for (std::uint32_t index = 0; index < Limit; ++index) {
    first.request(branch, seconds(60));
  }
  world.runFor(seconds(3));
  // The front freezes with its slots in use; a third ledger learns of them from the register only.
  first.process.freeze();
  cores[1]->has_lease = false;
  cores[1]->ledger->onLeaseLost();
  take_over_lease(2);
  for (std::uint32_t index = 0; index < Limit; ++index) {
    second.request(branch, seconds(60));
  }
  world.runFor(seconds(3));
  return static_cast<int>(first.permits.size() + second.permits.size());
}

TEST(LedgerFenceTest, ALateWriteOfAnEarlierTermDoesNotOverwriteReservations) {
  EXPECT_EQ(usedAfterLateWrite(true), static_cast<int>(Limit));
}

TEST(LedgerFenceTest, WithoutTheFenceTheLimitIsExceeded) {
  EXPECT_GT(usedAfterLateWrite(false), static_cast<int>(Limit));
}

TEST(LedgerSlotBrokerTest, KeepsItsIdleSlotsWhileAllCoresRefuseConnections) {
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
  EXPECT_EQ(front.outcomes[base::ResultCode::Ok], 6);
}

}  // namespace
}  // namespace switchsaddle::admission::testing
