#include <gtest/gtest.h>

#include <atomic>
#include <new>

#include "store_harness.h"
#include "switchsaddle/base/random.h"

namespace switchsaddle::storage {
namespace {

/** A file system for whose reads there is no memory while the test says so. */
class ReadsWithoutMemory : public PosixFileSystem {
 public:
  using PosixFileSystem::PosixFileSystem;

  std::string read(const std::string& path) override {
    if (is_without_memory) {
      throw std::bad_alloc();
    }
    return PosixFileSystem::read(path);
  }

  std::atomic<bool> is_without_memory = false;
};

class FileRecordStoreMemoryTest : public ::testing::Test {
 protected:
  void SetUp() override {
    bool is_open = false;
    store_.open([&](base::ResultCode code, const OpenedStore&) {
      EXPECT_EQ(code, base::ResultCode::Ok);
      is_open = true;
    });
    dispatcher_.runUntil([&] { return is_open; });
  }

  base::ResultCode scrub() {
    std::optional<base::ResultCode> result;
    store_.scrub([&](base::ResultCode code, const std::vector<std::string>&) { result = code; });
    dispatcher_.runUntil([&] { return result.has_value(); });
    return *result;
  }

  base::ResultCode commit() {
    std::optional<base::ResultCode> result;
    store_.commit({Record{"key", "bytes", false}}, [&](base::ResultCode code) { result = code; });
    dispatcher_.runUntil([&] { return result.has_value(); });
    return *result;
  }

  TemporaryFolder folder_;
  ManualDispatcher dispatcher_;
  ReadsWithoutMemory file_system_{folder_.path() + "/data"};
  ThreadStorageExecutor executor_{dispatcher_};
  base::RandomSource random_{1};
  FileRecordStore store_{dispatcher_, file_system_, executor_, random_, {}};
};

TEST_F(FileRecordStoreMemoryTest, AScrubWithoutMemoryIsNoDamageAndDoesNotEndTheProcess) {
  ASSERT_EQ(commit(), base::ResultCode::Ok);
  file_system_.is_without_memory = true;
  EXPECT_EQ(scrub(), base::ResultCode::StorageFailed);
  file_system_.is_without_memory = false;
  EXPECT_EQ(scrub(), base::ResultCode::Ok);
}

TEST_F(FileRecordStoreMemoryTest, ACallbackThatThrowsDoesNotHoldUpTheNextCommit) {
  std::optional<base::ResultCode> next;
  store_.commit({Record{"first", "bytes", false}},
                [](base::ResultCode) { throw std::bad_alloc(); });
  // Waits until the first one is through.
  store_.commit({Record{"next", "bytes", false}}, [&](base::ResultCode code) { next = code; });
  EXPECT_THROW(dispatcher_.runUntil([&] { return next.has_value(); }), std::bad_alloc);
  dispatcher_.runUntil([&] { return next.has_value(); });
  EXPECT_EQ(next, base::ResultCode::Ok);
}

}  // namespace
}  // namespace switchsaddle::storage
