#include "switchsaddle/streams/event_splitter.h"

#include <gtest/gtest.h>

namespace switchsaddle::streams {
namespace {

TEST(EventSplitterTest, EmitsCompleteEventsUnchanged) {
  const std::string body =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nversions: 3\nid: 4\ndata: c\n\n";
  for (std::size_t chunk = 1; chunk <= body.size(); ++chunk) {
    EventSplitter splitter;
    std::vector<RawEvent> events;
    for (std::size_t start = 0; start < body.size(); start += chunk) {
      EXPECT_TRUE(splitter.feed(std::string_view(body).substr(start, chunk), events));
    }
    ASSERT_EQ(events.size(), 3U) << chunk;
    EXPECT_EQ(events[0].bytes + events[1].bytes + events[2].bytes, body);
    EXPECT_EQ(events[0].id, 1U);
    EXPECT_EQ(events[1].id, 2U);
    EXPECT_EQ(events[2].id, 4U);
    EXPECT_FALSE(splitter.midEvent());
  }
}

TEST(EventSplitterTest, BuffersAnIncompleteEvent) {
  EventSplitter splitter;
  std::vector<RawEvent> events;
  EXPECT_TRUE(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata", events));
  EXPECT_EQ(events.size(), 1U);
  EXPECT_TRUE(splitter.midEvent());
  splitter.reset();
  EXPECT_TRUE(splitter.feed("data: new\n\n", events));
  EXPECT_EQ(events[1].bytes, "data: new\n\n");
  EXPECT_FALSE(events[1].id.has_value());
}

TEST(EventSplitterTest, LimitsTheSizeOfAnEvent) {
  EventSplitter splitter(16);
  std::vector<RawEvent> events;
  EXPECT_FALSE(splitter.feed("data: 0123456789abcdef", events));
}

}  // namespace
}  // namespace switchsaddle::streams
