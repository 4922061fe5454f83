#include "switchsaddle/transport/peer_calls.h"

#include <gtest/gtest.h>

#include <memory>

#include "recording_receiver.h"
#include "transport_harness.h"

namespace switchsaddle::transport {
namespace {

using std::chrono::milliseconds;

/** Three simulated nodes with PeerCalls. */
class PeerCallsTest : public testing::Test {
 protected:
  PeerCallsTest() {
    for (int node = 1; node <= 3; ++node) {
      transports[node] = &harness.start(node);
      calls[node] = std::make_unique<PeerCalls>(harness.dispatcher(node), *transports[node]);
    }
  }
  ~PeerCallsTest() override {
    for (auto& calls_of_node : calls) {
      calls_of_node.reset();
    }
  }

  static wire::Message request(const std::string& key) {
    wire::PrepareRequest message;
    message.key = key;
    return message;
  }
  static wire::Message reply(const std::string& value) {
    wire::RegisterReply message;
    message.value = value;
    return message;
  }
  /** Makes node `to` reply with the request's key. */
  void echo(int to) {
    calls[to]->handle<wire::PrepareRequest>(
        [](const base::NodeAddress&, const wire::PrepareRequest& message, ReplyFunction answer) {
          answer(reply(message.key));
        });
  }
  void call(int from, const base::NodeAddress& to, const std::string& key = "key") {
    calls[from]->call(to, request(key), milliseconds(100),
                      [this](const CallResult& result) { results.push_back(result); });
  }
  bool runUntilResults(std::size_t count) {
    return harness.runUntil([&] { return results.size() >= count; });
  }
  /** Runs the simulation until all time-outs of these tests have passed. */
  void runPastAllTimeouts() {
    harness.runUntil([end = harness.dispatcher(1).now() + std::chrono::seconds(1), this] {
      return harness.dispatcher(1).now() > end;
    });
  }

  SimulatedHarness harness;
  std::array<Transport*, 4> transports{};
  std::array<std::unique_ptr<PeerCalls>, 4> calls;
  std::vector<CallResult> results;
};

TEST_F(PeerCallsTest, ReturnsTheReply) {
  echo(2);
  call(1, harness.address(2), "question");
  ASSERT_TRUE(runUntilResults(1));
  EXPECT_EQ(results[0].code, base::ResultCode::Ok);
  ASSERT_NE(results[0].as<wire::RegisterReply>(), nullptr);
  EXPECT_EQ(results[0].as<wire::RegisterReply>()->value, "question");
  EXPECT_EQ(results[0].as<wire::LeaseReply>(), nullptr);
}

TEST_F(PeerCallsTest, TimesOutOnceAndIgnoresALateReply) {
  ReplyFunction late_reply;
  calls[2]->handle<wire::PrepareRequest>(
      [&](const base::NodeAddress&, const wire::PrepareRequest&, ReplyFunction answer) {
        late_reply = std::move(answer);
      });
  call(1, harness.address(2));
  ASSERT_TRUE(runUntilResults(1));
  EXPECT_EQ(results[0].code, base::ResultCode::PeerTimeout);
  EXPECT_FALSE(results[0].reply.has_value());
  ASSERT_TRUE(late_reply);
  late_reply(reply("late"));
  runPastAllTimeouts();
  EXPECT_EQ(results.size(), 1U);
}

TEST_F(PeerCallsTest, ReportsARefusedConnectionBeforeTheTimeout) {
  const base::TimePoint begin = harness.dispatcher(1).now();
  call(1, harness.address(9));
  call(1, harness.address(9));
  ASSERT_TRUE(runUntilResults(2));
  EXPECT_EQ(results[0].code, base::ResultCode::PeerUnreachable);
  EXPECT_EQ(results[1].code, base::ResultCode::PeerUnreachable);
  EXPECT_LT(harness.dispatcher(1).now() - begin, milliseconds(100));
  runPastAllTimeouts();
  EXPECT_EQ(results.size(), 2U);
}

TEST_F(PeerCallsTest, ARefusedConnectionFailsOnlyItsOwnCall) {
  // The refusal is in flight while the peer starts and a second call is made.
  calls[2].reset();
  harness.stop(2);
  call(1, harness.address(2), "refused");
  harness.freeze(1);
  harness.runFor(milliseconds(10));
  transports[2] = &harness.start(2);
  calls[2] = std::make_unique<PeerCalls>(harness.dispatcher(2), *transports[2]);
  echo(2);
  call(1, harness.address(2), "answered");
  harness.wake(1);
  ASSERT_TRUE(runUntilResults(2));
  runPastAllTimeouts();
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[0].code, base::ResultCode::PeerUnreachable);
  EXPECT_EQ(results[1].code, base::ResultCode::Ok);
}

TEST_F(PeerCallsTest, AcceptsAReplyOnlyFromTheCalledPeer) {
  calls[2]->handle<wire::PrepareRequest>(
      [](const base::NodeAddress&, const wire::PrepareRequest&, const ReplyFunction&) {});
  call(1, harness.address(2));
  // The id of the first request, but from a node that was not called.
  transports[3]->send(harness.address(1),
                      {harness.address(3), wire::EnvelopeKind::Reply, 1, reply("forged")});
  ASSERT_TRUE(runUntilResults(1));
  EXPECT_EQ(results[0].code, base::ResultCode::PeerTimeout);
  call(1, harness.address(2));
  transports[3]->send(harness.address(1),
                      {harness.address(2), wire::EnvelopeKind::Reply, 2, reply("right sender")});
  ASSERT_TRUE(runUntilResults(2));
  EXPECT_EQ(results[1].code, base::ResultCode::Ok);
}

TEST_F(PeerCallsTest, CallsToItselfAreNotReentrant) {
  echo(1);
  call(1, harness.address(1), "self");
  EXPECT_TRUE(results.empty());
  ASSERT_TRUE(runUntilResults(1));
  EXPECT_EQ(results[0].as<wire::RegisterReply>()->value, "self");
}

TEST_F(PeerCallsTest, ASecondReplyIsIgnored) {
  calls[2]->handle<wire::PrepareRequest>(
      [](const base::NodeAddress&, const wire::PrepareRequest&, const ReplyFunction& answer) {
        answer(reply("one"));
        answer(reply("two"));
      });
  call(1, harness.address(2));
  ASSERT_TRUE(runUntilResults(1));
  runPastAllTimeouts();
  EXPECT_EQ(results.size(), 1U);
}

TEST_F(PeerCallsTest, NotificationsReachTheHandlerAndTheirRepliesAreDropped) {
  int notified = 0;
  calls[2]->handle<wire::PrepareRequest>(
      [&](const base::NodeAddress& from, const wire::PrepareRequest&, ReplyFunction answer) {
        EXPECT_EQ(from, harness.address(1));
        ++notified;
        answer(reply("unasked"));
      });
  calls[1]->notify(harness.address(2), request("key"));
  EXPECT_TRUE(harness.runUntil([&] { return notified == 1; }));
  runPastAllTimeouts();
  EXPECT_EQ(notified, 1);
  EXPECT_TRUE(results.empty());
}

TEST_F(PeerCallsTest, NotifyAllReachesEachPeerAndThisNode) {
  std::vector<int> notified(4);
  for (int node = 1; node <= 3; ++node) {
    calls[node]->handle<wire::PrepareRequest>(
        [&notified, node](const auto&, const wire::PrepareRequest&, const ReplyFunction&) {
          ++notified[node];
        });
  }
  calls[1]->notifyAll({harness.address(1), harness.address(2), harness.address(3)}, request("key"));
  runPastAllTimeouts();
  EXPECT_EQ(notified, (std::vector<int>{0, 1, 1, 1}));
}

TEST_F(PeerCallsTest, AReplyFunctionMayBeCalledAfterItsPeerCallsIsDestroyed) {
  ReplyFunction reply_function;
  calls[2]->handle<wire::PrepareRequest>(
      [&](const base::NodeAddress&, const wire::PrepareRequest&, ReplyFunction answer) {
        reply_function = std::move(answer);
      });
  call(1, harness.address(2));
  ASSERT_TRUE(harness.runUntil([&] { return static_cast<bool>(reply_function); }));
  calls[2].reset();
  reply_function(reply("late"));
  ASSERT_TRUE(runUntilResults(1));
  EXPECT_EQ(results[0].code, base::ResultCode::PeerTimeout);
}

TEST_F(PeerCallsTest, RunsNoCallbackAfterDestruction) {
  echo(1);
  echo(2);
  call(1, harness.address(1));
  call(1, harness.address(2));
  calls[1].reset();
  runPastAllTimeouts();
  EXPECT_TRUE(results.empty());
}

TEST_F(PeerCallsTest, AReplyToAnEarlierProcessAtTheAddressIsIgnored) {
  std::vector<ReplyFunction> reply_functions;
  calls[2]->handle<wire::PrepareRequest>(
      [&reply_functions](const base::NodeAddress&, const wire::PrepareRequest& /*message*/,
                         const ReplyFunction& answer) { reply_functions.push_back(answer); });
  call(1, calls[2]->localAddress(), "first");
  ASSERT_TRUE(harness.runUntil([&reply_functions] { return reply_functions.size() == 1; }));
  calls[1] = nullptr;
  calls[1] = std::make_unique<PeerCalls>(harness.dispatcher(1), *transports[1]);
  call(1, calls[2]->localAddress(), "second");
  ASSERT_TRUE(harness.runUntil([&reply_functions] { return reply_functions.size() == 2; }));
  reply_functions[0](reply("first"));
  reply_functions[1](reply("second"));
  ASSERT_TRUE(runUntilResults(1));
  EXPECT_EQ(results[0].as<wire::RegisterReply>()->value, "second");
}

}  // namespace
}  // namespace switchsaddle::transport
