#include "switchsaddle/simulation/simulated_disk.h"

#include <algorithm>
#include <iterator>

#include "switchsaddle/base/error.h"

namespace switchsaddle::simulation {

namespace {

std::string folderOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? "" : path.substr(0, slash);
}

std::string nameOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? path : path.substr(slash + 1);
}

[[noreturn]] void fail(const std::string& action, const std::string& path) {
  throw base::Error(base::ResultCode::StorageFailed, action + " " + path);
}

}  // namespace

void SimulatedDisk::failOnce(DiskOperation kind, std::uint64_t nth, base::ResultCode code) {
  faults_.failOnce(kind, nth, code);
}

std::shared_ptr<SimulatedDisk::File> SimulatedDisk::find(const std::string& path) const {
  const Names::const_iterator found = live_.find(path);
  if (found == live_.end()) {
    fail("no such file:", path);
  }
  return found->second;
}

void SimulatedDisk::requireFolder(const std::string& path) const {
  if (!live_folders_.contains(path)) {
    fail("no such folder:", path);
  }
}

void SimulatedDisk::createFolder(const std::string& path) {
  faults_.begin(DiskOperation::CreateFolder);
  requireFolder(folderOf(path));
  if (full_ && !live_folders_.contains(path)) {
    throw base::Error(base::ResultCode::StorageFull, "disk full");
  }
  live_folders_.insert(path);
}

std::vector<std::string> SimulatedDisk::list(const std::string& folder) {
  faults_.requireRunning();
  std::vector<std::string> names;
  for (const auto& [path, file] : live_) {
    if (folderOf(path) == folder) {
      names.push_back(nameOf(path));
    }
  }
  for (const std::string& path : live_folders_) {
    if (!path.empty() && folderOf(path) == folder) {
      names.push_back(nameOf(path));
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string SimulatedDisk::read(const std::string& path) {
  faults_.requireRunning();
  return find(path)->bytes;
}

void SimulatedDisk::write(const std::string& path, const std::string& bytes) {
  const bool interrupt = faults_.count(DiskOperation::Write);
  requireFolder(folderOf(path));
  std::shared_ptr<File>& file = live_[path];
  if (!file) {
    file = std::make_shared<File>();
  }
  file->sync_lost = false;
  if (interrupt || full_ || faults_.isFailing(DiskOperation::Write)) {
    file->bytes = bytes.substr(0, random_.below(bytes.size() + 1));
  } else {
    file->bytes = faults_.isTorn() ? bytes.substr(0, bytes.size() / 2) : bytes;
  }
  if (interrupt) {
    throw DiskInterrupted{};
  }
  if (full_) {
    throw base::Error(base::ResultCode::StorageFull, "disk full");
  }
  faults_.throwFault(DiskOperation::Write);
}

void SimulatedDisk::syncFile(const std::string& path) {
  if (faults_.count(DiskOperation::SyncFile)) {
    throw DiskInterrupted{};
  }
  const std::shared_ptr<File> file = find(path);
  if (faults_.isFailing(DiskOperation::SyncFile)) {
    file->sync_lost = true;
  }
  faults_.throwFault(DiskOperation::SyncFile);
  if (!file->sync_lost) {
    file->durable = file->bytes;
  }
}

void SimulatedDisk::syncFolder(const std::string& path) {
  if (faults_.count(DiskOperation::SyncFolder)) {
    throw DiskInterrupted{};
  }
  requireFolder(path);
  if (faults_.isFailing(DiskOperation::SyncFolder)) {
    folders_sync_lost_.insert(path);
  }
  faults_.throwFault(DiskOperation::SyncFolder);
  if (folders_sync_lost_.contains(path)) {
    return;
  }
  persistNames(path);
  for (const std::string& folder : live_folders_) {
    if (folderOf(folder) == path) {
      durable_folders_.insert(folder);
    }
  }
}

void SimulatedDisk::persistNames(const std::string& folder) {
  const auto in_folder = [&](const auto& entry) { return folderOf(entry.first) == folder; };
  std::erase_if(durable_, in_folder);
  std::copy_if(live_.begin(), live_.end(), std::inserter(durable_, durable_.end()), in_folder);
}

void SimulatedDisk::rename(const std::string& from, const std::string& to) {
  faults_.begin(DiskOperation::Rename);
  requireFolder(folderOf(to));
  const std::shared_ptr<File> file = find(from);
  live_.erase(from);
  live_[to] = file;
  folders_sync_lost_.erase(folderOf(from));
  folders_sync_lost_.erase(folderOf(to));
}

void SimulatedDisk::remove(const std::string& path) {
  faults_.begin(DiskOperation::Remove);
  find(path);
  live_.erase(path);
  folders_sync_lost_.erase(folderOf(path));
}

void SimulatedDisk::loseUnsynced(File& file) {
  switch (random_.below(3)) {
    case 0:
      break;
    case 1:
      file.durable = file.bytes;
      break;
    default:
      if (file.bytes != file.durable) {
        file.durable = file.bytes.substr(0, random_.below(file.bytes.size() + 1));
      }
  }
  file.bytes = file.durable;
  file.sync_lost = false;
}

void SimulatedDisk::loseUnsyncedNames(const std::string& folder) {
  // The names of a folder change together, since the journal of a file system preserves their
  // order.
  constexpr double PersistedChance = 0.5;
  if (durable_folders_.contains(folder) && random_.chance(PersistedChance)) {
    persistNames(folder);
  }
}

void SimulatedDisk::powerLoss() {
  for (const std::string& folder : live_folders_) {
    loseUnsyncedNames(folder);
  }
  std::erase_if(durable_, [this](const auto& entry) {
    return !durable_folders_.contains(folderOf(entry.first));
  });
  std::set<std::shared_ptr<File>> seen;
  for (const auto& [path, file] : durable_) {
    if (seen.insert(file).second) {
      loseUnsynced(*file);
    }
  }
  live_ = durable_;
  live_folders_ = durable_folders_;
  folders_sync_lost_.clear();
  resume();
}

void SimulatedDisk::flipByte(const std::string& path, std::size_t offset) {
  const std::shared_ptr<File> file = find(path);
  file->bytes.at(offset) = static_cast<char>(~file->bytes.at(offset));
  file->durable = file->bytes;
}

void SimulatedDisk::truncate(const std::string& path, std::size_t length) {
  const std::shared_ptr<File> file = find(path);
  file->bytes.resize(std::min(length, file->bytes.size()));
  file->durable = file->bytes;
}

void SimulatedDisk::wipe() {
  live_.clear();
  durable_.clear();
  live_folders_ = {""};
  durable_folders_ = {""};
  folders_sync_lost_.clear();
}

}  // namespace switchsaddle::simulation
