#pragma once

#include <string>
#include <vector>

namespace switchsaddle::storage {

/**
 * The few operations the record store needs of a disk. Paths are relative to the data folder, with
 * '/' between parts. Every method blocks and throws base::Error with StorageFailed or StorageFull.
 * A file's bytes last only after syncFile(), its name only after syncFolder() of its folder; the
 * simulated disk drops whatever was not synced. Called only on the storage executor.
 */
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual void createFolder(const std::string& path) = 0;
  /** Names in a folder, sorted; a missing folder is empty. */
  virtual std::vector<std::string> list(const std::string& folder) = 0;
  virtual std::string read(const std::string& path) = 0;
  /** Creates or replaces a file; not durable. */
  virtual void write(const std::string& path, const std::string& bytes) = 0;
  virtual void syncFile(const std::string& path) = 0;
  virtual void syncFolder(const std::string& path) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& path) = 0;
};

}  // namespace switchsaddle::storage
