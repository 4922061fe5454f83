#include "switchsaddle/workers/worker_view_change.h"

#include <gtest/gtest.h>

#include "switchsaddle/wire/message.h"

namespace switchsaddle::workers {
namespace {

wire::WorkerView viewOf(std::uint64_t sequence, const std::vector<std::string>& ids) {
  wire::WorkerView view;
  view.term = 1;
  view.sequence = sequence;
  for (const std::string& id : ids) {
    wire::WorkerEntry worker;
    worker.id = id;
    worker.zone = "zone";
    view.workers.push_back(worker);
  }
  return view;
}

std::size_t encodedSize(wire::Message message) {
  return wire::encode({{"127.0.0.1", 1}, wire::EnvelopeKind::Notification, 0, std::move(message)})
      .size();
}

TEST(WorkerViewChangeTest, TransformsOneViewIntoTheOther) {
  const wire::WorkerView before = viewOf(1, {"a", "b", "c"});
  wire::WorkerView after = viewOf(2, {"b", "c", "d"});
  after.workers[1].state = wire::WorkerState::Draining;
  const wire::WorkerViewChange change = changeBetween(before, after);
  EXPECT_EQ(change.changed.size(), 2U);
  EXPECT_EQ(change.removed, std::vector<std::string>{"a"});
  const auto result = applyChange(before, change);
  ASSERT_TRUE(result);
  EXPECT_EQ(result->term, after.term);
  EXPECT_EQ(result->sequence, after.sequence);
  EXPECT_EQ(result->workers, after.workers);
}

TEST(WorkerViewChangeTest, IsNotAppliedToAnotherBase) {
  const wire::WorkerViewChange change = changeBetween(viewOf(2, {"a"}), viewOf(3, {"a", "b"}));
  EXPECT_FALSE(applyChange(viewOf(1, {"a"}), change));
  wire::WorkerView other_term = viewOf(2, {"a"});
  other_term.term = 2;
  EXPECT_FALSE(applyChange(other_term, change));
}

TEST(WorkerViewChangeTest, SizeOfAChangeDoesNotGrowWithTheList) {
  std::vector<std::string> ids;
  for (int index = 0; index < 2'100; ++index) {
    ids.push_back("worker-" + std::to_string(1'000 + index));
  }
  const wire::WorkerView before = viewOf(1, ids);
  wire::WorkerView after = viewOf(2, ids);
  after.workers[700].state = wire::WorkerState::Draining;
  EXPECT_LT(encodedSize(changeBetween(before, after)), 300U);
  EXPECT_GT(encodedSize(after), 100'000U);
}

}  // namespace
}  // namespace switchsaddle::workers
