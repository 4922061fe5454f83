#include "switchsaddle/testbed/load/event_stream_reader.h"

#include <gtest/gtest.h>

#include "switchsaddle/testbed/records/call_event.h"

namespace switchsaddle::testbed {
namespace {

constexpr std::string_view Stream =
    "id: 0\ndata: {\"a\":1}\n\n: comment\n\nevent: error\r\nid: 1\r\ndata: x\r\n\r\n"
    "data: [DONE]\n\nid: 9\n";

TEST(EventStreamReaderTest, ParsesTheSameEventsForAnyBlockSize) {
  for (std::size_t step = 1; step <= Stream.size(); ++step) {
    EventStreamReader reader;
    std::vector<StreamEvent> events;
    for (std::size_t start = 0; start < Stream.size(); start += step) {
      for (StreamEvent& event : reader.feed(Stream.substr(start, step))) {
        events.push_back(std::move(event));
      }
    }
    ASSERT_EQ(events.size(), 3U) << step;
    EXPECT_EQ(events[0].data, "{\"a\":1}");
    EXPECT_EQ(events[1].event, "error");
    EXPECT_EQ(events[1].id, "1");
    EXPECT_EQ(events[2].data, "[DONE]");
    EXPECT_TRUE(events[2].id.empty());
    EXPECT_TRUE(reader.partial());
  }
}

TEST(CallEventTest, RoundTripsAsAJsonLine) {
  CallEvent event;
  event.at_ms = 5;
  event.event = "answer";
  event.call = 3;
  event.kind = "one-shot";
  event.outcome = "unknown";
  event.end = call_end::Refused;
  event.code = 4001;
  const CallEvent read = parseCallEvent(toJsonLine(event));
  EXPECT_EQ(read.outcome, "unknown");
  EXPECT_EQ(read.code, 4001);
  EXPECT_EQ(read.index, -1);
  EXPECT_EQ(toJsonLine(read), toJsonLine(event));
}

}  // namespace
}  // namespace switchsaddle::testbed
