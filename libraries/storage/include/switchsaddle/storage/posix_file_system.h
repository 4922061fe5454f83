#pragma once

#include <string>
#include <vector>

#include "switchsaddle/storage/file_system.h"

namespace switchsaddle::storage {

/**
 * A FileSystem in one data folder of the machine. The folder is created if it is missing and is
 * locked for the lifetime of the object, so that two processes never share it. Called only on the
 * storage executor, except for construction.
 */
class PosixFileSystem : public FileSystem {
 public:
  /** @throws base::Error with StorageFailed if the folder cannot be created or is already
   * locked. */
  explicit PosixFileSystem(std::string root);
  ~PosixFileSystem() override;
  PosixFileSystem(const PosixFileSystem&) = delete;
  PosixFileSystem& operator=(const PosixFileSystem&) = delete;

  void createFolder(const std::string& path) override;
  std::vector<std::string> list(const std::string& folder) override;
  std::string read(const std::string& path) override;
  void write(const std::string& path, const std::string& bytes) override;
  void syncFile(const std::string& path) override;
  void syncFolder(const std::string& path) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& path) override;

 private:
  std::string absolute(const std::string& path) const;

  std::string root_;
  /** Descriptor of the data folder; the lock is on it. */
  int root_descriptor_ = -1;
};

}  // namespace switchsaddle::storage
