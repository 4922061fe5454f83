#include "switchsaddle/testbed/disk/faulty_disk.h"

#include <thread>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {

namespace {

/** Interval at which a stalled operation looks whether the stall has ended. */
constexpr base::Duration StallPoll = std::chrono::milliseconds(5);

}  // namespace

FaultyDisk::FaultyDisk(std::unique_ptr<storage::FileSystem> disk, std::string faults_file)
    : disk_(std::move(disk)), faults_file_(std::move(faults_file)) {}

DiskFaults FaultyDisk::awaitDisk() const {
  DiskFaults faults = readDiskFaults(faults_file_);
  while (faults.stalled) {
    std::this_thread::sleep_for(StallPoll);
    faults = readDiskFaults(faults_file_);
  }
  return faults;
}

void FaultyDisk::takeSyncTime() const {
  const base::Duration sync_time = awaitDisk().sync_time;
  if (sync_time > base::Duration::zero()) {
    std::this_thread::sleep_for(sync_time);
  }
}

void FaultyDisk::createFolder(const std::string& path) {
  awaitDisk();
  disk_->createFolder(path);
}

std::vector<std::string> FaultyDisk::list(const std::string& folder) {
  awaitDisk();
  return disk_->list(folder);
}

std::string FaultyDisk::read(const std::string& path) {
  awaitDisk();
  return disk_->read(path);
}

void FaultyDisk::write(const std::string& path, const std::string& bytes) {
  if (awaitDisk().full) {
    throw base::Error(base::ResultCode::StorageFull, "write " + path + ": the disk is full");
  }
  disk_->write(path, bytes);
}

void FaultyDisk::syncFile(const std::string& path) {
  takeSyncTime();
  disk_->syncFile(path);
}

void FaultyDisk::syncFolder(const std::string& path) {
  takeSyncTime();
  disk_->syncFolder(path);
}

void FaultyDisk::rename(const std::string& from, const std::string& to) {
  awaitDisk();
  disk_->rename(from, to);
}

void FaultyDisk::remove(const std::string& path) {
  awaitDisk();
  disk_->remove(path);
}

}  // namespace switchsaddle::testbed
