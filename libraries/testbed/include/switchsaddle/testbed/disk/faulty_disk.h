#pragma once

#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/storage/file_system.h"
#include "switchsaddle/testbed/disk/disk_faults.h"

namespace switchsaddle::testbed {

/**
 * A file system whose syncs take time and which stalls or is full while its file of faults says so;
 * the file is read before each operation. Blocks its caller, as a disk does. Used by one thread.
 */
class FaultyDisk : public storage::FileSystem {
 public:
  /** @param faults_file see diskFaultsFile(). */
  FaultyDisk(std::unique_ptr<storage::FileSystem> disk, std::string faults_file);

  void createFolder(const std::string& path) override;
  std::vector<std::string> list(const std::string& folder) override;
  std::string read(const std::string& path) override;
  void write(const std::string& path, const std::string& bytes) override;
  void syncFile(const std::string& path) override;
  void syncFolder(const std::string& path) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& path) override;

 private:
  /** Waits while the disk is stalled. @return the faults in force then. */
  DiskFaults awaitDisk() const;
  /** Takes the time of a sync. */
  void takeSyncTime() const;

  std::unique_ptr<storage::FileSystem> disk_;
  std::string faults_file_;
};

}  // namespace switchsaddle::testbed
