#include "switchsaddle/simulation/simulated_disk.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/error.h"

namespace switchsaddle::simulation {
namespace {

constexpr std::uint64_t Seeds = 50;
using Names = std::vector<std::string>;

void writeDurably(SimulatedDisk& disk, const std::string& path, const std::string& bytes) {
  disk.write(path, bytes);
  disk.syncFile(path);
  disk.syncFolder("");
}

TEST(SimulatedDisk, RetainsSyncedFiles) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SimulatedDisk disk(seed);
    writeDurably(disk, "file", "bytes");
    disk.powerLoss();
    EXPECT_EQ(disk.read("file"), "bytes");
  }
}

TEST(SimulatedDisk, MayLoseUnsyncedNames) {
  std::uint64_t lost = 0;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SimulatedDisk disk(seed);
    disk.write("file", "bytes");
    disk.syncFile("file");
    disk.powerLoss();
    lost += disk.list("").empty() ? 1 : 0;
  }
  EXPECT_GT(lost, 0U);
  EXPECT_LT(lost, Seeds);
}

TEST(SimulatedDisk, MayLoseOrTearUnsyncedBytes) {
  std::map<std::string, int> found;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SimulatedDisk disk(seed);
    writeDurably(disk, "file", "old");
    disk.write("file", "new bytes");
    disk.powerLoss();
    ++found[disk.read("file")];
  }
  EXPECT_GT(found["old"], 0);
  EXPECT_GT(found["new bytes"], 0);
  EXPECT_GT(found.size(), 2U);
}

TEST(SimulatedDisk, LosesFoldersWhoseParentWasNotSynced) {
  SimulatedDisk disk(1);
  disk.createFolder("folder");
  disk.write("folder/file", "bytes");
  disk.syncFile("folder/file");
  disk.syncFolder("folder");
  disk.powerLoss();
  EXPECT_EQ(disk.list(""), Names{});
}

TEST(SimulatedDisk, ASyncAfterAFailedSyncHasNoEffect) {
  std::uint64_t persisted = 0;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SimulatedDisk disk(seed);
    writeDurably(disk, "file", "old");
    disk.write("file", "new");
    disk.failOnce(DiskOperation::SyncFile, 1);
    EXPECT_THROW(disk.syncFile("file"), base::Error);
    disk.syncFile("file");
    disk.powerLoss();
    persisted += disk.read("file") == "new" ? 1 : 0;
  }
  EXPECT_LT(persisted, Seeds);
}

TEST(SimulatedDisk, InterruptionLastsUntilResumed) {
  SimulatedDisk disk(1);
  disk.interruptAt(2);
  disk.write("first", "bytes");
  EXPECT_THROW(disk.write("second", "bytes"), DiskInterrupted);
  EXPECT_TRUE(disk.interrupted());
  EXPECT_THROW(disk.list(""), DiskInterrupted);
  disk.resume();
  EXPECT_EQ(disk.read("first"), "bytes");
}

TEST(SimulatedDisk, FailsTheNthOperationOfAKindOnce) {
  SimulatedDisk disk(1);
  disk.failOnce(DiskOperation::Write, 2, base::ResultCode::StorageFull);
  disk.write("first", "bytes");
  EXPECT_THROW(disk.write("second", "bytes"), base::Error);
  EXPECT_NO_THROW(disk.write("second", "bytes"));
}

}  // namespace
}  // namespace switchsaddle::simulation
