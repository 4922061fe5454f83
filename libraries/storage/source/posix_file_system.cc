#include "switchsaddle/storage/posix_file_system.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::storage {

namespace {

constexpr mode_t FolderMode = 0750;
constexpr mode_t FileMode = 0640;
constexpr std::size_t ReadChunkBytes = std::size_t{64} * 1024;

[[noreturn]] void fail(const char* action, const std::string& path, int error) {
  const bool full = error == ENOSPC || error == EDQUOT;
  throw base::Error(
      full ? base::ResultCode::StorageFull : base::ResultCode::StorageFailed,
      std::string(action) + " " + path + ": " + std::generic_category().message(error));
}

/** An open file descriptor, closed with the object. */
class Descriptor {
 public:
  Descriptor(const std::string& path, int flags) : path_(path) {
    value_ = ::open(path.c_str(), flags | O_CLOEXEC, FileMode);
    if (value_ < 0) {
      fail("open", path_, errno);
    }
  }
  ~Descriptor() {
    if (value_ >= 0) {
      ::close(value_);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int value() const { return value_; }
  void sync() {
    if (::fsync(value_) != 0) {
      fail("sync", path_, errno);
    }
  }
  /** Closes the file and checks the result: network and quota file systems report some errors
   * only on close. */
  void close() {
    const int result = ::close(std::exchange(value_, -1));
    if (result != 0 && errno != EINTR) {
      fail("close", path_, errno);
    }
  }

 private:
  std::string path_;
  int value_;
};

}  // namespace

PosixFileSystem::PosixFileSystem(std::string root) : root_(std::move(root)) {
  if (::mkdir(root_.c_str(), FolderMode) != 0 && errno != EEXIST) {
    fail("create folder", root_, errno);
  }
  root_descriptor_ = ::open(root_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (root_descriptor_ < 0) {
    fail("open folder", root_, errno);
  }
  if (::flock(root_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    const int error = errno;
    ::close(root_descriptor_);
    fail("lock folder", root_, error);
  }
}

PosixFileSystem::~PosixFileSystem() {
  ::close(root_descriptor_);
}

std::string PosixFileSystem::absolute(const std::string& path) const {
  return path.empty() ? root_ : root_ + "/" + path;
}

void PosixFileSystem::createFolder(const std::string& path) {
  const std::string folder = absolute(path);
  if (::mkdir(folder.c_str(), FolderMode) != 0 && errno != EEXIST) {
    fail("create folder", folder, errno);
  }
}

std::vector<std::string> PosixFileSystem::list(const std::string& folder) {
  const std::string path = absolute(folder);
  DIR* directory = ::opendir(path.c_str());
  if (directory == nullptr) {
    if (errno == ENOENT) {
      return {};
    }
    fail("list", path, errno);
  }
  std::vector<std::string> names;
  errno = 0;
  while (const dirent* entry = ::readdir(directory)) {
    const std::string name = entry->d_name;
    if (name != "." && name != "..") {
      names.push_back(name);
    }
    errno = 0;
  }
  const int error = errno;
  ::closedir(directory);
  if (error != 0) {
    fail("list", path, error);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string PosixFileSystem::read(const std::string& path) {
  Descriptor file(absolute(path), O_RDONLY);
  std::string bytes;
  while (true) {
    const std::size_t size = bytes.size();
    bytes.resize(size + ReadChunkBytes);
    const ssize_t count = ::read(file.value(), bytes.data() + size, ReadChunkBytes);
    const int error = errno;
    bytes.resize(size + (count > 0 ? static_cast<std::size_t>(count) : 0));
    if (count == 0) {
      return bytes;
    }
    if (count < 0 && error != EINTR) {
      fail("read", path, error);
    }
  }
}

void PosixFileSystem::write(const std::string& path, const std::string& bytes) {
  Descriptor file(absolute(path), O_WRONLY | O_CREAT | O_TRUNC);
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(file.value(), bytes.data() + written, bytes.size() - written);
    if (count >= 0) {
      written += static_cast<std::size_t>(count);
    } else if (errno != EINTR) {
      fail("write", path, errno);
    }
  }
  file.close();
}

void PosixFileSystem::syncFile(const std::string& path) {
  Descriptor(absolute(path), O_RDONLY).sync();
}

void PosixFileSystem::syncFolder(const std::string& path) {
  Descriptor(absolute(path), O_RDONLY | O_DIRECTORY).sync();
}

void PosixFileSystem::rename(const std::string& from, const std::string& to) {
  if (std::rename(absolute(from).c_str(), absolute(to).c_str()) != 0) {
    fail("rename", from, errno);
  }
}

void PosixFileSystem::remove(const std::string& path) {
  if (::unlink(absolute(path).c_str()) != 0) {
    fail("remove", path, errno);
  }
}

}  // namespace switchsaddle::storage
