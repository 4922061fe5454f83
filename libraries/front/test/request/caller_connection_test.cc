#include "switchsaddle/front/request/caller_connection.h"

#include <gtest/gtest.h>

#include <optional>

#include "forward/forward_fakes.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

class CallerConnectionTest : public testing::Test {
 protected:
  /** Runs the callbacks that have been posted to the control strand. */
  void runPosted() { world.runFor(std::chrono::milliseconds(1)); }

  simulation::World world{1};
  simulation::Process process{world};
  std::shared_ptr<ForwardWriter> writer = std::make_shared<ForwardWriter>();
  CallerConnection connection{process, writer};
};

TEST_F(CallerConnectionTest, PostsTheOutcomeOfAWriteToTheControlStrand) {
  writer->slow = true;
  std::optional<WriteOutcome> outcome;
  connection.writeChunk("chunk", [&outcome](WriteOutcome value) { outcome = value; });
  EXPECT_EQ(writer->body, "chunk");
  writer->pending_writes.front()(true);
  EXPECT_FALSE(outcome);
  runPosted();
  EXPECT_EQ(outcome, WriteOutcome::Written);
}

TEST_F(CallerConnectionTest, ReportsAWriteToADisconnectedCaller) {
  writer->slow = true;
  std::optional<WriteOutcome> outcome;
  connection.writeChunk("chunk", [&outcome](WriteOutcome value) { outcome = value; });
  writer->pending_writes.front()(false);
  runPosted();
  EXPECT_EQ(outcome, WriteOutcome::Disconnected);
}

TEST_F(CallerConnectionTest, PostsADisconnectToTheControlStrand) {
  int disconnects = 0;
  connection.onDisconnected([&disconnects] { ++disconnects; });
  writer->disconnected();
  EXPECT_EQ(disconnects, 0);
  runPosted();
  EXPECT_EQ(disconnects, 1);
}

}  // namespace
}  // namespace switchsaddle::front
