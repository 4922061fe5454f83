#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::storage {

/** One record to be written, or the removal of its key. */
struct Record {
  std::string key;
  std::string bytes;
  bool removed = false;
};

/** The result of opening a store. */
struct OpenedStore {
  /** Random, drawn when the data folder was created; a new one if the folder was empty,
   * incomplete or unreadable. */
  std::uint64_t instance = 0;
  /** Whether the instance is new, so that this node has no state to vote on. Remains true on each
   * open until the first commit, since the result of an earlier open may have been lost. */
  bool is_new = false;
  /** Why a previous instance was abandoned; empty if there was none. */
  std::string loss;
  std::map<std::string, std::string> records;
};

using CommitCallback = std::function<void(base::ResultCode)>;
using OpenCallback = std::function<void(base::ResultCode, const OpenedStore&)>;

/**
 * A durable map of records in one data folder. A commit is atomic: it is written as one new file
 * (under a temporary name, synced, renamed, folder synced). Commits submitted while one is in
 * progress are written together in the next file. Older files are compacted in the background. Disk
 * work never runs on the dispatcher's strand; callbacks do. After a failed sync every later commit
 * completes with StorageFailed until open() has been called again.
 */
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  virtual void open(OpenCallback callback) = 0;
  virtual void commit(std::vector<Record> records, CommitCallback callback) = 0;
  /**
   * Writes the complete state again in the background and removes every older file, including
   * damaged ones. Abandoned if the store fails or is opened again before it ends. A store without
   * files does nothing.
   * @param state all records as they are after the commits submitted before this call.
   */
  virtual void rewrite(std::vector<Record> /*state*/) {}
  /** Verifies every live file. @param callback receives the keys whose stored bytes fail their
   * checksum. */
  virtual void scrub(
      std::function<void(base::ResultCode, const std::vector<std::string>&)> callback) = 0;
};

}  // namespace switchsaddle::storage
