#include "switchsaddle/streams/relay_machine.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/error.h"

namespace switchsaddle::streams {
namespace {

using base::ResultCode;

std::string chunk(std::uint64_t index, const std::string& run = "r1") {
  const std::string number = std::to_string(index);
  return "id: " + number + "\ndata: {\"run\":\"" + run + "\",\"index\":" + number +
         ",\"text\":\"t" + number + "\",\"tokens\":1}\n\n";
}

std::string done(std::uint64_t count) {
  return "id: " + std::to_string(count) + "\ndata: [DONE]\n\n";
}

TEST(RelayMachine, RelaysACompleteRunByteByByte) {
  RelayMachine machine;
  machine.onHead("r1");
  std::vector<std::string> events;
  for (const char byte : chunk(0) + ": comment\r\n\r\n" + chunk(1) + done(2)) {
    const RelayStep step = machine.onBytes(std::string_view(&byte, 1));
    EXPECT_EQ(step.code, ResultCode::Ok);
    events.insert(events.end(), step.events.begin(), step.events.end());
  }
  EXPECT_EQ(events, (std::vector<std::string>{chunk(0), chunk(1), done(2)}));
  EXPECT_EQ(machine.state(), RelayState::Finished);
  EXPECT_EQ(machine.onWorkerEnd(), ResultCode::Ok);
  EXPECT_EQ(machine.tokens(), 2U);
}

struct FaultCase {
  std::string name;
  std::string body;
  ResultCode code;
  std::uint64_t chunks;
};

class RelayFault : public testing::TestWithParam<FaultCase> {};

TEST_P(RelayFault, EndsWithAnErrorEventAndNeverWithDone) {
  RelayMachine machine;
  machine.onHead("r1");
  const RelayStep step = machine.onBytes(GetParam().body);
  const ResultCode code = step.code != ResultCode::Ok ? step.code : machine.onWorkerEnd();
  EXPECT_EQ(code, GetParam().code);
  ASSERT_EQ(step.events.size(), GetParam().chunks);
  for (const std::string& event : step.events) {
    EXPECT_EQ(event.find("[DONE]"), std::string::npos);
  }
  EXPECT_EQ(machine.mayRetryElsewhere(), GetParam().chunks == 0);
  const RelayStep end = machine.endWithError(code);
  ASSERT_EQ(end.events.size(), 1U);
  EXPECT_TRUE(end.events[0].starts_with("event: error\n"));
  const std::string last = GetParam().chunks == 0 ? "null" : std::to_string(GetParam().chunks - 1);
  EXPECT_NE(end.events[0].find("\"last_piece\":" + last), std::string::npos);
  EXPECT_NE(end.events[0].find("\"retry_safe\":true"), std::string::npos);
  EXPECT_TRUE(machine.onBytes(done(GetParam().chunks)).events.empty());
  EXPECT_TRUE(machine.endWithError(code).events.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Faults, RelayFault,
    testing::Values(
        FaultCase{"SilentCloseBefore", "", ResultCode::StreamBroken, 0},
        FaultCase{"SilentCloseAfter", chunk(0) + chunk(1), ResultCode::StreamBroken, 2},
        FaultCase{"CutChunk", chunk(0) + "id: 1\ndata: {\"run\":\"r1\"}\n",
                  ResultCode::StreamBroken, 1},
        FaultCase{"CutDone", chunk(0) + "id: 1\ndata: [DONE]\n", ResultCode::StreamBroken, 1},
        FaultCase{"GapAtStart", chunk(1), ResultCode::StreamGap, 0},
        FaultCase{"Gap", chunk(0) + chunk(2) + done(3), ResultCode::StreamGap, 1},
        FaultCase{"Repeat", chunk(0) + chunk(0), ResultCode::StreamRepeat, 1},
        FaultCase{"RunChanged", chunk(0) + chunk(1, "r2"), ResultCode::StreamRunChanged, 1},
        FaultCase{"OtherRunThanHeader", chunk(0, "r2"), ResultCode::StreamRunChanged, 0},
        FaultCase{"DoneTooEarly", chunk(0) + done(3), ResultCode::StreamGap, 1},
        FaultCase{"DoneTooLate", chunk(0) + chunk(1) + done(1), ResultCode::StreamRepeat, 2},
        FaultCase{"NoNumber", chunk(0) + "data: [DONE]\n\n", ResultCode::StreamBroken, 1},
        FaultCase{"NotJson", "id: 0\ndata: {]\n\n", ResultCode::StreamBroken, 0},
        FaultCase{"OwnError", chunk(0) + "event: error\nid: 1\ndata: {}\n\n",
                  ResultCode::StreamBroken, 1},
        FaultCase{"IndexContradictsNumber", "id: 0\ndata: {\"run\":\"r1\",\"index\":1}\n\n",
                  ResultCode::StreamBroken, 0}),
    [](const auto& test) { return test.param.name; });

TEST(RelayMachine, MayRetryOnAnotherWorkerOnlyBeforeTheFirstChunk) {
  RelayMachine machine;
  machine.onHead("r1");
  EXPECT_EQ(machine.onBytes(chunk(3)).code, ResultCode::StreamGap);
  machine.beginAttempt();
  machine.onHead("r2");
  EXPECT_EQ(machine.onBytes(chunk(0, "r2")).events.size(), 1U);
  EXPECT_THROW(machine.beginAttempt(), base::Error);
}

TEST(RelayMachine, ReadsOnlyWhileTheCallerAcceptsEvents) {
  RelayMachine machine(2);
  machine.onHead("r1");
  machine.onBytes(chunk(0));
  EXPECT_TRUE(machine.mayRead());
  machine.onBytes(chunk(1));
  EXPECT_FALSE(machine.mayRead());
  machine.onWritten();
  EXPECT_TRUE(machine.mayRead());
}

TEST(RelayMachine, AddsTheRunToChunksWithoutOne) {
  RelayMachine machine;
  machine.onHead("r1");
  const RelayStep step = machine.onBytes("id: 0\ndata: {\"text\":\"a\"}\n\n");
  ASSERT_EQ(step.events.size(), 1U);
  EXPECT_EQ(step.events[0], "id: 0\ndata: {\"text\":\"a\",\"run\":\"r1\"}\n\n");
}

TEST(EventStreamParser, RejectsAnEventBeyondItsMaximumSizeWithoutBufferingIt) {
  EventStreamParser parser(64);
  std::vector<WorkerEvent> events;
  EXPECT_EQ(parser.feed("id: 0\ndata: " + std::string(100, 'x'), events), ResultCode::StreamBroken);
  EXPECT_EQ(parser.feed("\n\n" + chunk(0), events), ResultCode::StreamBroken);
  EXPECT_TRUE(events.empty());
}

}  // namespace
}  // namespace switchsaddle::streams
