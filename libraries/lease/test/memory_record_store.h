#pragma once

#include <map>
#include <string>
#include <vector>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::lease {

/** The records that outlive a simulated process. */
using MemoryDisk = std::map<std::string, std::string>;

/** A record store whose commits take a random time and are lost when the process is killed. */
class MemoryRecordStore : public storage::RecordStore {
 public:
  MemoryRecordStore(simulation::World& world, simulation::Process& process, MemoryDisk& disk)
      : world_(world), process_(process), disk_(disk) {}

  void open(storage::OpenCallback callback) override {
    storage::OpenedStore opened;
    opened.records = disk_;
    callback(base::ResultCode::Ok, opened);
  }
  void commit(std::vector<storage::Record> records, storage::CommitCallback callback) override {
    if (failing) {
      process_.post([callback] { callback(base::ResultCode::StorageFailed); });
      return;
    }
    const auto delay = std::chrono::microseconds(world_.random().below(20'000));
    process_.postAfter(delay, [this, records = std::move(records), callback] {
      for (const storage::Record& record : records) {
        disk_[record.key] = record.bytes;
      }
      process_.postAfter(std::chrono::microseconds(100),
                         [callback] { callback(base::ResultCode::Ok); });
    });
  }
  void scrub(
      std::function<void(base::ResultCode, const std::vector<std::string>&)> callback) override {
    callback(base::ResultCode::Ok, {});
  }

  bool failing = false;

 private:
  simulation::World& world_;
  simulation::Process& process_;
  MemoryDisk& disk_;
};

}  // namespace switchsaddle::lease
