#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::storage {

/** One record to be written; an empty optional state is expressed by `removed`. */
struct Record {
  std::string key;
  std::string bytes;
  bool removed = false;
};

/** What opening a store found. */
struct OpenedStore {
  /** Made when the data folder was made; a new one where it was empty, torn or unreadable. */
  std::uint64_t instance = 0;
  /** True where the instance is new, so that this node holds no state it could vote on. Stays true
   * over reopening until the first commit, since the answer to a former open may have been lost. */
  bool is_new = false;
  /** Why a former instance was given up; empty where none was. */
  std::string loss;
  std::map<std::string, std::string> records;
};

using CommitCallback = std::function<void(base::ResultCode)>;
using OpenCallback = std::function<void(base::ResultCode, const OpenedStore&)>;

/**
 * A durable map of records under one data folder. A commit is written as one new file (aside,
 * synced, renamed, folder synced) and is all or nothing; commits handed over while one is under way
 * are written together in the next file. Older files are compacted in the background. Disk work
 * never runs on the dispatcher's strand; callbacks do. After a failed sync every later commit
 * answers StorageFailed until open() has been called again.
 */
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  virtual void open(OpenCallback callback) = 0;
  virtual void commit(std::vector<Record> records, CommitCallback callback) = 0;
  /**
   * Writes the whole state anew in the background and gives up every older file, so that what a
   * scrub found damaged is gone. `state` is all records as they are after the commits handed over
   * before this call. Dropped where the store fails or is opened before it is done. A store without
   * files has nothing to do.
   */
  virtual void rewrite(std::vector<Record> /*state*/) {}
  /** Reads every live file again and reports the keys whose stored bytes fail their checksum. */
  virtual void scrub(
      std::function<void(base::ResultCode, const std::vector<std::string>&)> callback) = 0;
};

}  // namespace switchsaddle::storage
