#include <gtest/gtest.h>

#include "store_harness.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::storage {
namespace {

/** Fixtures: one for each file system, with its resources. */
struct PosixFixture {
  TemporaryFolder folder;
  PosixFileSystem file_system{folder.path()};
};
struct SimulatedFixture {
  simulation::SimulatedDisk file_system{1};
};

template <typename Fixture>
class FileSystemContract : public testing::Test {
 protected:
  FileSystem& fileSystem() { return fixture_.file_system; }
  base::ResultCode codeOf(const std::function<void()>& action) {
    try {
      action();
      return base::ResultCode::Ok;
    } catch (const base::Error& error) {
      return error.code();
    }
  }

 private:
  Fixture fixture_;
};

using FileSystems = testing::Types<PosixFixture, SimulatedFixture>;
TYPED_TEST_SUITE(FileSystemContract, FileSystems);

using Names = std::vector<std::string>;

TYPED_TEST(FileSystemContract, ReadsWhatWasWritten) {
  const std::string bytes("a\0b\n", 4);
  this->fileSystem().write("file", bytes);
  EXPECT_EQ(this->fileSystem().read("file"), bytes);
  this->fileSystem().write("file", "");
  EXPECT_EQ(this->fileSystem().read("file"), "");
}

TYPED_TEST(FileSystemContract, ReadsLargeFiles) {
  std::string bytes;
  for (int index = 0; index < 300000; ++index) {
    bytes.push_back(static_cast<char>(index % 251));
  }
  this->fileSystem().write("file", bytes);
  EXPECT_EQ(this->fileSystem().read("file"), bytes);
}

TYPED_TEST(FileSystemContract, ListsSortedNamesOfOneFolder) {
  this->fileSystem().createFolder("folder");
  this->fileSystem().createFolder("folder");
  this->fileSystem().write("folder/b", "");
  this->fileSystem().write("folder/a", "");
  EXPECT_EQ(this->fileSystem().list("folder"), (Names{"a", "b"}));
  EXPECT_EQ(this->fileSystem().list(""), Names{"folder"});
  EXPECT_EQ(this->fileSystem().list("missing"), Names{});
}

TYPED_TEST(FileSystemContract, RenameReplacesTheTarget) {
  this->fileSystem().createFolder("folder");
  this->fileSystem().write("from", "new");
  this->fileSystem().write("folder/to", "old");
  this->fileSystem().rename("from", "folder/to");
  EXPECT_EQ(this->fileSystem().read("folder/to"), "new");
  EXPECT_EQ(this->fileSystem().list(""), Names{"folder"});
}

TYPED_TEST(FileSystemContract, RemovesFiles) {
  this->fileSystem().write("file", "bytes");
  this->fileSystem().remove("file");
  EXPECT_EQ(this->fileSystem().list(""), Names{});
}

TYPED_TEST(FileSystemContract, SyncsFilesAndFolders) {
  this->fileSystem().write("file", "bytes");
  this->fileSystem().syncFile("file");
  this->fileSystem().syncFolder("");
  EXPECT_EQ(this->fileSystem().read("file"), "bytes");
}

TYPED_TEST(FileSystemContract, MissingFilesAndFoldersFail) {
  const auto failed = base::ResultCode::StorageFailed;
  FileSystem& files = this->fileSystem();
  EXPECT_EQ(this->codeOf([&] { files.read("missing"); }), failed);
  EXPECT_EQ(this->codeOf([&] { files.write("missing/file", ""); }), failed);
  EXPECT_EQ(this->codeOf([&] { files.syncFile("missing"); }), failed);
  EXPECT_EQ(this->codeOf([&] { files.syncFolder("missing"); }), failed);
  EXPECT_EQ(this->codeOf([&] { files.rename("missing", "to"); }), failed);
  EXPECT_EQ(this->codeOf([&] { files.remove("missing"); }), failed);
  EXPECT_EQ(this->codeOf([&] { files.createFolder("missing/folder"); }), failed);
}

TEST(PosixFileSystem, RejectsAFolderThatIsAlreadyOpen) {
  const TemporaryFolder folder;
  {
    const PosixFileSystem first(folder.path());
    EXPECT_THROW(PosixFileSystem second(folder.path()), base::Error);
  }
  EXPECT_NO_THROW(PosixFileSystem third(folder.path()));
}

TEST(PosixFileSystem, CreatesItsFolder) {
  const TemporaryFolder folder;
  PosixFileSystem files(folder.path() + "/data");
  files.write("file", "bytes");
  EXPECT_TRUE(std::filesystem::exists(folder.path() + "/data/file"));
}

TEST(PosixFileSystem, FullDeviceFailsWithStorageFull) {
  // /dev/full fails each write with ENOSPC.
  const TemporaryFolder folder;
  PosixFileSystem files(folder.path());
  std::filesystem::create_symlink("/dev/full", folder.path() + "/file");
  try {
    files.write("file", "bytes");
    FAIL() << "the write succeeded";
  } catch (const base::Error& error) {
    EXPECT_EQ(error.code(), base::ResultCode::StorageFull);
  }
}

}  // namespace
}  // namespace switchsaddle::storage
