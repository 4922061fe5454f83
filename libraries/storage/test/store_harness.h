#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/simulation/simulated_disk.h"
#include "switchsaddle/simulation/simulated_storage_executor.h"
#include "switchsaddle/storage/file_record_store.h"
#include "switchsaddle/storage/posix_file_system.h"
#include "switchsaddle/storage/thread_storage_executor.h"

namespace switchsaddle::storage {

/** A new folder in the system's temporary folder, removed with the object. */
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/** A dispatcher that runs on the test's own thread. Its timers never expire. */
class ManualDispatcher : public base::Dispatcher {
 public:
  base::TimePoint now() const override { return {}; }
  base::TimerPtr createTimer(std::function<void()> callback) override;
  void post(std::function<void()> callback) override;
  /** Runs callbacks, and waits for further ones, until the condition is true. */
  void runUntil(const std::function<bool()>& condition);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> callbacks_;
};

/** A record store with its file system and executor, for tests. */
class StoreHarness {
 public:
  virtual ~StoreHarness() = default;
  virtual FileSystem& fileSystem() = 0;
  virtual RecordStore& store() = 0;
  /** Destroys the store and creates another one on the same files. */
  virtual void restart() = 0;
  virtual void runUntil(const std::function<bool()>& condition) = 0;

  OpenedStore open();
  base::ResultCode openCode();
  base::ResultCode commit(std::vector<Record> records);
  base::ResultCode put(const std::string& key, const std::string& bytes);
  base::ResultCode erase(const std::string& key);
  base::ResultCode scrub(std::vector<std::string>& damaged_keys);
};

/** A store on a simulated disk, whose faults the test controls. */
class SimulatedStoreHarness : public StoreHarness {
 public:
  explicit SimulatedStoreHarness(FileRecordStoreOptions options, std::uint64_t seed = 1);
  FileSystem& fileSystem() override { return disk; }
  RecordStore& store() override { return *store_; }
  void restart() override;
  /** Returns early if the disk is interrupted. */
  void runUntil(const std::function<bool()>& condition) override;
  simulation::SimulatedStorageExecutor& executor() { return *executor_; }
  void destroyStore() { store_.reset(); }

  simulation::World world;
  simulation::Process process;
  simulation::SimulatedDisk disk;

 private:
  FileRecordStoreOptions options_;
  std::unique_ptr<simulation::SimulatedStorageExecutor> executor_;
  std::unique_ptr<FileRecordStore> store_;
};

/** A store on the file system of the machine. */
class PosixStoreHarness : public StoreHarness {
 public:
  explicit PosixStoreHarness(FileRecordStoreOptions options);
  FileSystem& fileSystem() override { return *file_system_; }
  RecordStore& store() override { return *store_; }
  void restart() override;
  void runUntil(const std::function<bool()>& condition) override {
    dispatcher_.runUntil(condition);
  }

 private:
  TemporaryFolder folder_;
  FileRecordStoreOptions options_;
  base::RandomSource random_ = base::RandomSource::fromSystem();
  ManualDispatcher dispatcher_;
  std::optional<PosixFileSystem> file_system_;
  std::unique_ptr<ThreadStorageExecutor> executor_;
  std::unique_ptr<FileRecordStore> store_;
};

/** @return options with which a few commits cause runs and merges. */
FileRecordStoreOptions smallOptions();

}  // namespace switchsaddle::storage
