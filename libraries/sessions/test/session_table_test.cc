#include "switchsaddle/sessions/session_table.h"

#include <gtest/gtest.h>

#include <optional>

#include "session_fleet.h"

namespace switchsaddle::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SessionTableTest : public testing::Test {
 protected:
  SessionTableTest() {
    for (std::size_t index = 0; index < SessionFleet::FrontCount; ++index) {
      fleet_.kill(fleet_.front(index));
    }
    client_.transport = fleet_.network.attach({"127.0.0.9", 7000}, client_.process);
    client_.calls = std::make_unique<transport::PeerCalls>(client_.process, *client_.transport);
    fleet_.run(seconds(2));
  }

  void send(std::uint64_t instance, std::uint64_t sequence, std::uint64_t applied,
            bool closed = false, std::size_t core = 0) {
    wire::SessionRecord record{{"127.0.0.9", 7000}, instance, sequence, applied, 0, "z", closed};
    client_.calls->call(fleet_.core(core).address, wire::SessionOpenRequest{record}, seconds(1),
                        [this](const auto& result) {
                          const auto* reply = result.template as<wire::SessionOpenReply>();
                          granted_ += reply != nullptr && reply->granted ? 1 : 0;
                        });
    fleet_.run(milliseconds(30));
  }

  base::ResultCode read(std::size_t core = 0) {
    std::optional<base::ResultCode> code;
    fleet_.core(core).table->readLive([&](base::ResultCode result, const auto& live) {
      code = result;
      live_ = live;
    });
    fleet_.runUntil([&] { return code.has_value(); }, seconds(3));
    return code.value();
  }

  SessionFleet fleet_{3};
  SessionNode client_{fleet_.world};
  std::size_t granted_ = 0;
  std::vector<wire::SessionTableEntry> live_;
};

TEST_F(SessionTableTest, ListsASessionUntilItExpiresOrCloses) {
  send(1, 1, 4);
  EXPECT_EQ(granted_, 1U);
  ASSERT_EQ(read(1), base::ResultCode::Ok);
  ASSERT_EQ(live_.size(), 1U);
  EXPECT_EQ(live_[0].record.applied_version, 4U);
  fleet_.run(milliseconds(1'400));
  EXPECT_EQ(fleet_.core(2).table->localSessions().size(), 1U);
  fleet_.run(milliseconds(100));
  EXPECT_EQ(fleet_.core(2).table->localSessions().size(), 0U);
  send(1, 2, 4);
  send(1, 3, 4, true);
  ASSERT_EQ(read(), base::ResultCode::Ok);
  EXPECT_TRUE(live_.empty());
}

TEST_F(SessionTableTest, IgnoresOlderSequencesAndKeepsInstancesApart) {
  send(1, 5, 7);
  send(1, 4, 2);
  send(2, 1, 1);
  ASSERT_EQ(read(), base::ResultCode::Ok);
  ASSERT_EQ(live_.size(), 2U);
  EXPECT_EQ(live_[0].record.sequence, 5U);
  EXPECT_EQ(live_[0].record.applied_version, 7U);
}

TEST_F(SessionTableTest, NeitherGrantsNorReadsWithoutAMajority) {
  for (std::size_t index = 2; index < SessionFleet::CoreCount; ++index) {
    fleet_.kill(fleet_.core(index));
  }
  send(1, 1, 0);
  fleet_.run(seconds(1));
  EXPECT_EQ(granted_, 0U);
  EXPECT_EQ(read(), base::ResultCode::NoQuorum);
}

TEST_F(SessionTableTest, RecoveringCoresRecordButDoNotCountInReads) {
  for (std::size_t index = 0; index < 3; ++index) {
    fleet_.kill(fleet_.core(index));
    fleet_.start(fleet_.core(index));
  }
  const base::TimePoint restarted = fleet_.world.now();
  send(1, 1, 0);
  EXPECT_EQ(granted_, 1U);
  EXPECT_EQ(read(), base::ResultCode::Ok);
  EXPECT_GE(fleet_.world.now(), restarted + SessionTimes{}.core_limit);
}

/** Tables are read repeatedly while a change waits; complete records of 291 fronts take 200 KB. */
TEST_F(SessionTableTest, TablesOmitLoadAndDemand) {
  wire::SessionRecord record{{"127.0.0.9", 7000}, 1, 1, 3, 0, "z", false};
  record.demand = {{"tenant", 1, 2}};
  record.load.workers = {{7, 1, 1}};
  client_.calls->call(fleet_.core(0).address, wire::SessionOpenRequest{record}, seconds(1),
                      [](const auto&) {});
  fleet_.run(milliseconds(30));
  ASSERT_EQ(fleet_.core(1).table->localSessions().size(), 1U);
  EXPECT_EQ(fleet_.core(1).table->localSessions()[0].record.demand.size(), 1U);
  ASSERT_EQ(read(), base::ResultCode::Ok);
  ASSERT_EQ(live_.size(), 1U);
  EXPECT_EQ(live_[0].record.applied_version, 3U);
  EXPECT_TRUE(live_[0].record.demand.empty());
  EXPECT_TRUE(live_[0].record.load.workers.empty());
}

TEST_F(SessionTableTest, ReadsOnlyLaggingFronts) {
  for (std::uint64_t instance = 0; instance < 6; ++instance) {
    wire::SessionRecord record{{"127.0.0.9", 7000}, instance, 1, instance, 0, "z", false};
    client_.calls->call(fleet_.core(0).address, wire::SessionOpenRequest{record}, seconds(1),
                        [](const auto&) {});
  }
  fleet_.run(milliseconds(50));
  std::size_t lagging = 0;
  fleet_.core(3).table->readLagging(
      4, [&](base::ResultCode, const auto& sessions) { lagging = sessions.size(); });
  fleet_.run(milliseconds(50));
  EXPECT_EQ(lagging, 4U);
  EXPECT_EQ(fleet_.core(3).table->localLagging(4).size(), 4U);
}

TEST_F(SessionTableTest, SlowCoresReceiveFewerBatches) {
  fleet_.network.conditions.minimum_delay = milliseconds(40);
  fleet_.network.conditions.maximum_delay = milliseconds(40);
  const std::uint64_t before = fleet_.network.envelopesSent();
  constexpr std::uint64_t Opens = 200;
  for (std::uint64_t instance = 0; instance < Opens; ++instance) {
    wire::SessionRecord record{{"127.0.0.9", 7000}, instance, 1, 0, 0, "z", false};
    client_.calls->call(
        fleet_.core(0).address, wire::SessionOpenRequest{record}, seconds(1),
        [this](const auto& result) { granted_ += result.reply.has_value() ? 1 : 0; });
    fleet_.run(milliseconds(2));
  }
  fleet_.run(milliseconds(400));
  EXPECT_EQ(granted_, Opens);
  // A majority records each batch after 80 ms. A batch goes to four peers, each of which replies.
  EXPECT_LE(fleet_.network.envelopesSent() - before, std::size_t{2} * Opens + std::size_t{8} * 8);
}

TEST_F(SessionTableTest, ManyFrontsShareBatches) {
  const std::uint64_t before = fleet_.network.envelopesSent();
  for (std::uint64_t instance = 0; instance < 500; ++instance) {
    wire::SessionRecord record{{"127.0.0.9", 7000}, instance, 1, 0, 0, "z", false};
    client_.calls->call(
        fleet_.core(0).address, wire::SessionOpenRequest{record}, seconds(1),
        [this](const auto& result) { granted_ += result.reply.has_value() ? 1 : 0; });
  }
  fleet_.run(milliseconds(100));
  EXPECT_EQ(granted_, 500U);
  // 500 requests and replies, and at most two batches to four peers with their replies.
  EXPECT_LE(fleet_.network.envelopesSent() - before, 1'000U + 16U);
}

}  // namespace
}  // namespace switchsaddle::sessions
