// Disk faults: each operation fails once; at each operation the process is killed or the machine
// loses power.

#include <gtest/gtest.h>

#include "possible_records.h"
#include "store_harness.h"

namespace switchsaddle::storage {
namespace {

using base::ResultCode;
using simulation::DiskOperation;

constexpr int Commits = 40;
constexpr int Pairs = 7;

/** Opens a store and submits commits one after the other, whatever their results. */
class Scenario {
 public:
  explicit Scenario(std::uint64_t seed) : harness(smallOptions(), seed) {}

  /** @return false if the disk was interrupted. */
  bool run() {
    opened_code = harness.openCode();
    if (harness.disk.interrupted()) {
      return false;
    }
    for (int index = 0; index < Commits && !harness.disk.interrupted(); ++index) {
      commit(index % Pairs, index % 5 == 4 ? "" : "tag" + std::to_string(index));
    }
    return !harness.disk.interrupted();
  }
  ResultCode commit(int pair, const std::string& tag) {
    last_number = possible.submitted(pair, tag);
    const ResultCode code = harness.commit(PossibleRecords::makeCommit(pair, tag));
    if (code == ResultCode::Ok) {
      possible.acknowledged(pair, last_number);
    }
    return code;
  }
  OpenedStore reopen() {
    harness.restart();
    OpenedStore opened = harness.open();
    possible.expect(opened.records);
    EXPECT_EQ(opened.loss, "");
    return opened;
  }
  /** Expects that the records read are durable without a further commit, and that commits succeed.
   */
  void expectConsistent() {
    const OpenedStore first = reopen();
    harness.disk.powerLoss();
    const OpenedStore second = reopen();
    EXPECT_EQ(second.instance, first.instance);
    EXPECT_EQ(second.records, first.records);
    EXPECT_EQ(commit(0, "last"), ResultCode::Ok);
    EXPECT_EQ(reopen().instance, first.instance);
  }

  SimulatedStoreHarness harness;
  PossibleRecords possible;
  ResultCode opened_code = ResultCode::InternalError;
  std::uint64_t last_number = 0;
};

std::uint64_t operationsWithoutFault() {
  Scenario scenario(1);
  EXPECT_TRUE(scenario.run());
  return scenario.harness.disk.operations();
}

TEST(FileRecordStoreFaults, PowerLossAtEachOperationKeepsAcknowledgedCommits) {
  const std::uint64_t operations = operationsWithoutFault();
  ASSERT_GT(operations, 200U);
  for (std::uint64_t at = 1; at <= operations; ++at) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      SCOPED_TRACE("operation " + std::to_string(at) + " seed " + std::to_string(seed));
      Scenario scenario(seed);
      scenario.harness.disk.interruptAt(at);
      scenario.run();
      scenario.harness.disk.powerLoss();
      scenario.expectConsistent();
      ASSERT_FALSE(testing::Test::HasFailure());
    }
  }
}

TEST(FileRecordStoreFaults, KillAtEachOperationKeepsAcknowledgedCommits) {
  const std::uint64_t operations = operationsWithoutFault();
  for (std::uint64_t at = 1; at <= operations; ++at) {
    SCOPED_TRACE("operation " + std::to_string(at));
    Scenario scenario(at);
    scenario.harness.disk.interruptAt(at);
    scenario.run();
    scenario.harness.disk.resume();
    scenario.expectConsistent();
    ASSERT_FALSE(testing::Test::HasFailure());
  }
}

class FailingOperation : public testing::TestWithParam<DiskOperation> {};

TEST_P(FailingOperation, LosesNoAcknowledgedCommit) {
  Scenario without_fault(1);
  ASSERT_TRUE(without_fault.run());
  const std::uint64_t count = without_fault.harness.disk.operations(GetParam());
  ASSERT_GT(count, 0U);
  for (std::uint64_t nth = 1; nth <= count; ++nth) {
    SCOPED_TRACE("operation " + std::to_string(nth) + " of the kind");
    Scenario scenario(nth);
    scenario.harness.disk.failOnce(GetParam(), nth);
    scenario.run();
    scenario.harness.disk.powerLoss();
    scenario.expectConsistent();
    ASSERT_FALSE(testing::Test::HasFailure());
  }
}

TEST_P(FailingOperation, ReopenedStoreReadsOnlyDurableRecords) {
  Scenario without_fault(1);
  ASSERT_TRUE(without_fault.run());
  for (std::uint64_t nth = 1; nth <= without_fault.harness.disk.operations(GetParam()); ++nth) {
    SCOPED_TRACE("operation " + std::to_string(nth) + " of the kind");
    Scenario scenario(nth);
    scenario.harness.disk.failOnce(GetParam(), nth);
    scenario.run();
    scenario.expectConsistent();
    ASSERT_FALSE(testing::Test::HasFailure());
  }
}

INSTANTIATE_TEST_SUITE_P(Operations, FailingOperation,
                         testing::Values(DiskOperation::CreateFolder, DiskOperation::Write,
                                         DiskOperation::SyncFile, DiskOperation::SyncFolder,
                                         DiskOperation::Rename, DiskOperation::Remove));

class FailingCommit : public testing::TestWithParam<DiskOperation> {};

TEST_P(FailingCommit, FailsAllCommitsUntilReopened) {
  Scenario scenario(1);
  scenario.harness.open();
  scenario.harness.disk.failOnce(GetParam(), 1);
  EXPECT_EQ(scenario.commit(0, "failed"), ResultCode::StorageFailed);
  EXPECT_EQ(scenario.commit(1, "rejected"), ResultCode::StorageFailed);
  EXPECT_EQ(scenario.commit(2, "rejected"), ResultCode::StorageFailed);
  scenario.possible.expect(scenario.harness.open().records);
  EXPECT_EQ(scenario.commit(1, "accepted"), ResultCode::Ok);
}

INSTANTIATE_TEST_SUITE_P(Operations, FailingCommit,
                         testing::Values(DiskOperation::SyncFile, DiskOperation::SyncFolder,
                                         DiskOperation::Rename));

TEST(FileRecordStoreFaults, FullDiskRejectsCommitsAndRecovers) {
  Scenario scenario(1);
  scenario.harness.open();
  EXPECT_EQ(scenario.commit(0, "before"), ResultCode::Ok);
  scenario.harness.disk.setFull(true);
  EXPECT_EQ(scenario.commit(0, "rejected"), ResultCode::StorageFull);
  scenario.possible.notWritten(0, scenario.last_number);
  EXPECT_EQ(scenario.commit(1, "rejected"), ResultCode::StorageFull);
  scenario.possible.notWritten(1, scenario.last_number);
  scenario.reopen();
  EXPECT_EQ(scenario.commit(0, "again"), ResultCode::StorageFull);
  scenario.possible.notWritten(0, scenario.last_number);
  scenario.harness.disk.setFull(false);
  EXPECT_EQ(scenario.commit(1, "after"), ResultCode::Ok);
  scenario.expectConsistent();
}

TEST(FileRecordStoreFaults, OpeningANewFolderOnAFullDiskFailsWithStorageFull) {
  SimulatedStoreHarness harness(smallOptions());
  harness.disk.setFull(true);
  EXPECT_EQ(harness.openCode(), ResultCode::StorageFull);
  harness.disk.setFull(false);
  EXPECT_EQ(harness.open().loss, "");
}

TEST(FileRecordStoreFaults, CompactionIsRetriedAfterAFullDisk) {
  Scenario scenario(1);
  scenario.harness.open();
  // The first two writes are commits. Together with the initial commit there are then three commit
  // files, so the third write is that of the run.
  scenario.harness.disk.failOnce(DiskOperation::Write, 3, ResultCode::StorageFull);
  for (int index = 0; index < 4; ++index) {
    EXPECT_EQ(scenario.commit(index, "tag"), ResultCode::Ok);
  }
  scenario.harness.world.runFor(std::chrono::seconds(1));
  const std::vector<std::string> names = scenario.harness.disk.list("records");
  const auto is_run = [](const std::string& name) { return name.ends_with(".run"); };
  EXPECT_EQ(std::count_if(names.begin(), names.end(), is_run), 1);
  scenario.expectConsistent();
}

TEST(FileRecordStoreFaults, CommitOnAStalledDiskFailsAtTheTimeout) {
  Scenario scenario(1);
  SimulatedStoreHarness& harness = scenario.harness;
  harness.open();
  harness.world.runFor(std::chrono::seconds(1));
  harness.executor().stallNext(std::chrono::seconds(20));
  const base::TimePoint begin = harness.world.now();
  EXPECT_EQ(scenario.commit(0, "stalled"), ResultCode::StorageSlow);
  EXPECT_EQ(harness.world.now() - begin, FileRecordStoreOptions{}.commit_timeout);
  // During the stall further commits are rejected at once.
  EXPECT_EQ(scenario.commit(1, "rejected"), ResultCode::StorageSlow);
  EXPECT_EQ(harness.world.now() - begin, FileRecordStoreOptions{}.commit_timeout);
  scenario.possible.notWritten(1, scenario.last_number);
  harness.world.runFor(std::chrono::seconds(21));
  EXPECT_EQ(scenario.commit(2, "after"), ResultCode::Ok);
  scenario.expectConsistent();
}

TEST(FileRecordStoreFaults, CommitsQueuedDuringAStallAreDropped) {
  Scenario scenario(1);
  SimulatedStoreHarness& harness = scenario.harness;
  harness.open();
  harness.world.runFor(std::chrono::seconds(1));
  harness.executor().stallNext(std::chrono::seconds(20));
  scenario.possible.submitted(0, "stalled");
  const std::uint64_t second = scenario.possible.submitted(1, "stalled");
  const std::uint64_t third = scenario.possible.submitted(2, "stalled");
  std::vector<ResultCode> codes;
  for (int pair = 0; pair < 3; ++pair) {
    harness.store().commit(PossibleRecords::makeCommit(pair, "stalled"),
                           [&codes](ResultCode code) { codes.push_back(code); });
  }
  harness.world.runFor(std::chrono::seconds(30));
  EXPECT_EQ(codes, std::vector<ResultCode>(3, ResultCode::StorageSlow));
  scenario.possible.notWritten(1, second);
  scenario.possible.notWritten(2, third);
  scenario.expectConsistent();
}

}  // namespace
}  // namespace switchsaddle::storage
