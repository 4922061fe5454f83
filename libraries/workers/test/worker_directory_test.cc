#include "switchsaddle/workers/worker_directory.h"

#include <gtest/gtest.h>

namespace switchsaddle::workers {
namespace {

wire::WorkerEntry entry(const std::string& id, std::uint64_t instance,
                        wire::WorkerState state = wire::WorkerState::Ready) {
  wire::WorkerEntry result;
  result.id = id;
  result.address = {"127.0.0.1", 9000};
  result.instance = instance;
  result.state = state;
  return result;
}

wire::WorkerView view(std::uint64_t term, std::uint64_t sequence,
                      std::vector<wire::WorkerEntry> workers) {
  return {term, sequence, std::move(workers)};
}

TEST(WorkerDirectoryTest, AppliesViewsOnlyInOrderOfTermAndSequence) {
  WorkerDirectory directory;
  EXPECT_TRUE(directory.applyView(view(2, 5, {entry("a", 1)})));
  EXPECT_FALSE(directory.applyView(view(2, 5, {})));
  EXPECT_FALSE(directory.applyView(view(1, 9, {})));
  EXPECT_EQ(directory.snapshot()->workers.size(), 1U);
  EXPECT_TRUE(directory.applyView(view(3, 1, {entry("b", 2)})));
  EXPECT_TRUE(directory.snapshot()->workers.at("b").usable());
}

TEST(WorkerDirectoryTest, DrainingIsNotWithdrawnWithinOneInstance) {
  WorkerDirectory directory;
  directory.applyView(view(1, 1, {entry("a", 1, wire::WorkerState::Draining)}));
  directory.applyView(view(1, 2, {entry("a", 1)}));
  EXPECT_TRUE(directory.snapshot()->workers.at("a").draining);
  directory.applyView(view(1, 3, {entry("a", 3)}));
  EXPECT_TRUE(directory.snapshot()->workers.at("a").usable());
}

TEST(WorkerDirectoryTest, AnInstanceRemovedFromTheListStaysUnusable) {
  WorkerDirectory directory;
  directory.applyView(view(1, 1, {entry("a", 1), entry("b", 1)}));
  directory.applyView(view(1, 2, {entry("b", 1)}));
  EXPECT_TRUE(directory.snapshot()->workers.at("a").unreachable);
  directory.applyView(view(2, 1, {entry("a", 1), entry("b", 1)}));
  EXPECT_FALSE(directory.snapshot()->workers.at("a").usable());
  directory.applyView(view(2, 2, {entry("a", 9), entry("b", 1)}));
  EXPECT_TRUE(directory.snapshot()->workers.at("a").usable());
}

TEST(WorkerDirectoryTest, ObservationsOverrideTheViewOfTheirInstance) {
  WorkerDirectory directory;
  directory.applyView(view(1, 1, {entry("a", 4)}));
  EXPECT_FALSE(directory.applyObservation({"a", 3, true, false}));
  EXPECT_TRUE(directory.applyObservation({"a", 4, true, false}));
  EXPECT_FALSE(directory.applyObservation({"a", 4, true, false}));
  EXPECT_TRUE(directory.applyObservation({"a", 4, false, true}));
  EXPECT_TRUE(directory.snapshot()->workers.at("a").draining);
  EXPECT_TRUE(directory.snapshot()->workers.at("a").unreachable);
  directory.applyView(view(1, 2, {entry("a", 6)}));
  EXPECT_TRUE(directory.snapshot()->workers.at("a").usable());
  EXPECT_TRUE(directory.observations().empty());
}

TEST(WorkerDirectoryTest, AnObservationReceivedBeforeItsViewIsApplied) {
  WorkerDirectory directory;
  EXPECT_TRUE(directory.applyObservation({"a", 4, false, true}));
  directory.applyView(view(1, 1, {entry("a", 4)}));
  EXPECT_TRUE(directory.snapshot()->workers.at("a").unreachable);
}

TEST(WorkerDirectoryTest, EqualObservationsHaveEqualDigestsInAnyOrder) {
  WorkerDirectory first;
  WorkerDirectory second;
  first.applyObservation({"a", 1, true, false});
  first.applyObservation({"b", 2, false, true});
  second.applyObservation({"b", 2, false, true});
  EXPECT_NE(first.observationsDigest(), second.observationsDigest());
  second.applyObservation({"a", 1, true, false});
  EXPECT_EQ(first.observationsDigest(), second.observationsDigest());
}

TEST(WorkerDirectoryTest, ListenersReceiveTheSnapshotsBeforeAndAfter) {
  WorkerDirectory directory;
  std::uint64_t before_revision = 99;
  WorkerSnapshotPtr received;
  directory.addListener([&](const WorkerSnapshotPtr& before, const WorkerSnapshotPtr& after) {
    before_revision = before->revision;
    received = after;
  });
  directory.applyView(view(1, 1, {entry("a", 1)}));
  EXPECT_EQ(before_revision, 0U);
  EXPECT_EQ(received, directory.snapshot());
}

TEST(WorkerDirectoryTest, ObservationsOfUnlistedWorkersAreBounded) {
  WorkerDirectory directory;
  for (std::uint64_t index = 1; index <= 3'000; ++index) {
    directory.applyObservation({"worker" + std::to_string(index), index, false, true});
  }
  EXPECT_EQ(directory.observations().size(), 1'024U);
  EXPECT_FALSE(directory.applyObservation({"worker1", 1, false, true}));
}

}  // namespace
}  // namespace switchsaddle::workers
