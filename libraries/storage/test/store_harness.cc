#include "store_harness.h"

#include <cstdlib>
#include <stdexcept>

namespace switchsaddle::storage {

namespace {

constexpr base::Duration SimulatedLimit = std::chrono::minutes(5);

class NeverExpiringTimer : public base::Timer {
 public:
  void enable(base::Duration) override { enabled_ = true; }
  void disable() override { enabled_ = false; }
  bool enabled() const override { return enabled_; }

 private:
  bool enabled_ = false;
};

}  // namespace

TemporaryFolder::TemporaryFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "switchsaddle-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  path_ = name;
}

base::TimerPtr ManualDispatcher::createTimer(std::function<void()>) {
  return std::make_unique<NeverExpiringTimer>();
}

void ManualDispatcher::post(std::function<void()> callback) {
  {
    const std::lock_guard lock(mutex_);
    callbacks_.push_back(std::move(callback));
  }
  changed_.notify_one();
}

void ManualDispatcher::runUntil(const std::function<bool()>& condition) {
  while (!condition()) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !callbacks_.empty(); });
    const std::function<void()> callback = std::move(callbacks_.front());
    callbacks_.pop_front();
    lock.unlock();
    callback();
  }
}

OpenedStore StoreHarness::open() {
  std::optional<OpenedStore> result;
  store().open([&result](base::ResultCode code, const OpenedStore& opened) {
    if (code != base::ResultCode::Ok) {
      throw std::runtime_error("open failed");
    }
    result = opened;
  });
  runUntil([&result] { return result.has_value(); });
  return result.value();
}

base::ResultCode StoreHarness::openCode() {
  // Shared, since an interrupted disk ends runUntil() before the callback.
  auto result = std::make_shared<std::optional<base::ResultCode>>();
  store().open([result](base::ResultCode code, const OpenedStore&) { *result = code; });
  runUntil([result] { return result->has_value(); });
  return result->value_or(base::ResultCode::InternalError);
}

base::ResultCode StoreHarness::commit(std::vector<Record> records) {
  auto result = std::make_shared<std::optional<base::ResultCode>>();
  store().commit(std::move(records), [result](base::ResultCode code) { *result = code; });
  runUntil([result] { return result->has_value(); });
  return result->value_or(base::ResultCode::InternalError);
}

base::ResultCode StoreHarness::put(const std::string& key, const std::string& bytes) {
  return commit({Record{key, bytes, false}});
}

base::ResultCode StoreHarness::erase(const std::string& key) {
  return commit({Record{key, "", true}});
}

base::ResultCode StoreHarness::scrub(std::vector<std::string>& damaged_keys) {
  std::optional<base::ResultCode> result;
  store().scrub([&](base::ResultCode code, const std::vector<std::string>& keys) {
    damaged_keys = keys;
    result = code;
  });
  runUntil([&result] { return result.has_value(); });
  return result.value();
}

SimulatedStoreHarness::SimulatedStoreHarness(FileRecordStoreOptions options, std::uint64_t seed)
    : world(seed), process(world), disk(seed), options_(options) {
  restart();
}

void SimulatedStoreHarness::restart() {
  store_.reset();
  executor_.reset();
  process.kill();
  process.start();
  executor_ = std::make_unique<simulation::SimulatedStorageExecutor>(world, process);
  store_ = std::make_unique<FileRecordStore>(process, disk, *executor_, world.random(), options_);
}

void SimulatedStoreHarness::runUntil(const std::function<bool()>& condition) {
  const auto ended = [&] { return disk.interrupted() || condition(); };
  if (!world.runUntil(ended, SimulatedLimit)) {
    throw std::runtime_error("the condition did not become true within the limit");
  }
}

PosixStoreHarness::PosixStoreHarness(FileRecordStoreOptions options) : options_(options) {
  restart();
}

void PosixStoreHarness::restart() {
  store_.reset();
  executor_.reset();
  file_system_.reset();
  file_system_.emplace(folder_.path());
  executor_ = std::make_unique<ThreadStorageExecutor>(dispatcher_);
  store_ =
      std::make_unique<FileRecordStore>(dispatcher_, *file_system_, *executor_, random_, options_);
}

FileRecordStoreOptions smallOptions() {
  FileRecordStoreOptions options;
  options.commits_for_run = 3;
  options.runs_for_merge = 2;
  options.bucket_count = 3;
  return options;
}

}  // namespace switchsaddle::storage
