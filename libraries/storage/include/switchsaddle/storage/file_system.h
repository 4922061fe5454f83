#pragma once

#include <string>
#include <vector>

namespace switchsaddle::storage {

/**
 * The file operations of the record store. Paths are relative to the data folder and separated by
 * '/'. Every method blocks and throws base::Error with StorageFailed or StorageFull. A file's bytes
 * are durable only after syncFile(), its name only after syncFolder() of its folder; the simulated
 * disk drops everything that was not synced. Called only on the storage executor.
 */
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual void createFolder(const std::string& path) = 0;
  /** @return the names in a folder, sorted; empty if the folder is missing. */
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
