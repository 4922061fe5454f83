#include "switchsaddle/testbed/disk/faulty_disk.h"

#include <gtest/gtest.h>

#include <future>

#include "switchsaddle/base/error.h"
#include "switchsaddle/storage/posix_file_system.h"

namespace switchsaddle::testbed {
namespace {

class FaultyDiskTest : public ::testing::Test {
 protected:
  std::string folder_ = ::testing::TempDir() + "faulty-disk-" +
                        ::testing::UnitTest::GetInstance()->current_test_info()->name();
  std::string faults_file_ = diskFaultsFile(folder_);
  FaultyDisk disk_{std::make_unique<storage::PosixFileSystem>(folder_), faults_file_};

  void TearDown() override { writeDiskFaults(faults_file_, {}); }
};

TEST_F(FaultyDiskTest, FaultsAreReadAsTheyWereWritten) {
  const DiskFaults faults{std::chrono::milliseconds(5), true, true};
  writeDiskFaults(faults_file_, faults);
  EXPECT_EQ(readDiskFaults(faults_file_), faults);
  EXPECT_EQ(readDiskFaults(faults_file_ + ".missing"), DiskFaults());
}

TEST_F(FaultyDiskTest, RefusesWritesWhileItIsFullAndStillReads) {
  disk_.write("file", "before");
  writeDiskFaults(faults_file_, {.full = true});
  try {
    disk_.write("file", "after");
    FAIL() << "expected a refusal";
  } catch (const base::Error& error) {
    EXPECT_EQ(error.code(), base::ResultCode::StorageFull);
  }
  EXPECT_EQ(disk_.read("file"), "before");
}

TEST_F(FaultyDiskTest, HoldsOperationsUntilAStallEnds) {
  disk_.write("file", "bytes");
  writeDiskFaults(faults_file_, {.stalled = true});
  std::future<std::string> reading =
      std::async(std::launch::async, [this] { return disk_.read("file"); });
  EXPECT_EQ(reading.wait_for(std::chrono::milliseconds(50)), std::future_status::timeout);
  writeDiskFaults(faults_file_, {});
  EXPECT_EQ(reading.get(), "bytes");
}

TEST_F(FaultyDiskTest, SyncsTakeTheirTime) {
  constexpr std::chrono::milliseconds SyncTime(20);
  writeDiskFaults(faults_file_, {.sync_time = SyncTime});
  disk_.write("file", "bytes");
  const auto begin = std::chrono::steady_clock::now();
  disk_.syncFile("file");
  EXPECT_GE(std::chrono::steady_clock::now() - begin, SyncTime);
}

}  // namespace
}  // namespace switchsaddle::testbed
