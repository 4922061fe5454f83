// What a run holds of workers' responses is bounded, however they end or do not.

#include <gtest/gtest.h>

#include "attempt/response_memory.h"
#include "forward/forward_flow_fixture.h"

namespace switchsaddle::front {
namespace {

/** What the HTTP client passes on at a time. */
constexpr std::size_t PieceBytes = 16U << 10U;
/** Far more pieces than the memory of the fixture has room for. */
constexpr int ManyPieces = 10'000;

using ResponseMemoryTest = ForwardFlowTest;

/** Sends the piece again and again until the call is cancelled. @return how often it was sent. */
int sendEndlessly(const FakeForwardPort::Sent& sent, const std::string& piece) {
  int pieces = 0;
  while (!sent.call->cancelled && pieces < ManyPieces) {
    sent.bytes(piece);
    ++pieces;
  }
  return pieces;
}

TEST_F(ResponseMemoryTest, AnEventWithoutEndEndsItsStream) {
  const auto writer = run("stream");
  last().head(200);
  EXPECT_LT(sendEndlessly(last(), std::string(PieceBytes, 'e')), ManyPieces);
  EXPECT_EQ(counters.responses_without_memory, 1U);
  EXPECT_EQ(response_memory->used(), 0U);
}

TEST_F(ResponseMemoryTest, ACollectedResponseWithoutEndIsGivenUp) {
  const auto writer = run("once");
  last().head(200);
  EXPECT_LT(sendEndlessly(last(), std::string(PieceBytes, 'b')), ManyPieces);
  ASSERT_TRUE(writer->response.has_value());
  EXPECT_EQ(writer->response->status, 502);
  EXPECT_EQ(response_memory->used(), 0U);
}

TEST_F(ResponseMemoryTest, UnfinishedEventsOfManyStreamsStayWithinTheMemory) {
  std::vector<std::shared_ptr<ForwardWriter>> writers;
  for (int stream = 0; stream < 50; ++stream) {
    writers.push_back(run("stream"));
    last().head(200);
    for (int piece = 0; piece < 3 && !last().call->cancelled; ++piece) {
      last().bytes(std::string(PieceBytes, 'e'));
    }
    ASSERT_LE(response_memory->used(), response_memory->limit());
  }
  EXPECT_GT(counters.responses_without_memory, 0U);
}

TEST_F(ResponseMemoryTest, AStreamThatIsNotReadPausesItsWorker) {
  const auto writer = run("stream");
  writer->slow = true;
  last().head(200);
  int resumed = 0;
  const std::string event = "data: " + std::string(PieceBytes, 'e') + "\n\n";
  last().observer->onBytes(event, [&resumed] { ++resumed; });
  EXPECT_EQ(resumed, 0);
  writer->pending_writes.front()(true);
  world.runFor(std::chrono::milliseconds(1));
  EXPECT_EQ(resumed, 1);
}

TEST_F(ResponseMemoryTest, OrdinaryStreamsNeedNoCountedMemory) {
  base::ByteReservation others(response_memory);
  others.forceTo(response_memory->limit());
  const auto writer = run("stream");
  last().head(200);
  for (int event = 0; event < 1'000; ++event) {
    last().bytes("data: " + std::string(1'000, 'e') + "\n\n");
    world.runFor(std::chrono::milliseconds(1));
  }
  last().observer->onComplete();
  EXPECT_TRUE(writer->ended);
  EXPECT_EQ(counters.responses_without_memory, 0U);
}

}  // namespace
}  // namespace switchsaddle::front
