#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/storage/file_system.h"
#include "switchsaddle/storage/record_store.h"
#include "switchsaddle/storage/storage_executor.h"

namespace switchsaddle::storage {

/** Bounds of a FileRecordStore. */
struct FileRecordStoreOptions {
  /** A commit not durable after this long is answered StorageSlow. */
  base::Duration commit_timeout = std::chrono::seconds(2);
  /** Commit files are merged into one run at this many, or at this many bytes. */
  std::size_t commits_for_run = 64;
  std::size_t bytes_for_run = 4U << 20U;
  /** Runs are merged into the bucket files at this many, or at this many bytes. */
  std::size_t runs_for_merge = 256;
  std::size_t bytes_for_merge = 16U << 20U;
  /** Parts the whole state is cut into by key; positive, and fixed when a folder is made. More of
   * them make the steps of a merge shorter: at 64 and 900,000 records of 200 bytes, a commit waited
   * at most some 0.3 s for one in a trial. */
  std::size_t bucket_count = 64;
};

class RecordDirectory;

/**
 * The RecordStore over a FileSystem: queues commits on the strand, and hands the disk work to the
 * executor one bounded piece at a time, commits before scrubbing and compaction. At most one piece
 * is under way. Values are not kept in memory. The file system and the executor must outlive the
 * store; a destroyed store answers no callback. Lives on the dispatcher's strand.
 */
class FileRecordStore : public RecordStore {
 public:
  FileRecordStore(base::Dispatcher& dispatcher, FileSystem& file_system, StorageExecutor& executor,
                  base::RandomSource& random, FileRecordStoreOptions options = {});
  ~FileRecordStore() override;

  /** Fails the commits not begun with StorageFailed, then reads the folder again. Answers
   * StorageFailed or StorageFull where the disk refuses; open() may be called again. */
  void open(OpenCallback callback) override;
  /** Answers Ok once durable. StorageFull: nothing was written. StorageSlow: the outcome is unknown
   * until the store has been opened again. StorageFailed: not open, or a sync has failed. */
  void commit(std::vector<Record> records, CommitCallback callback) override;
  void rewrite(std::vector<Record> state) override;
  /** Answers RecordCorrupt where any byte fails. Keys are complete unless a file's table of keys is
   * itself damaged or the file is gone. */
  void scrub(
      std::function<void(base::ResultCode, const std::vector<std::string>&)> callback) override;

 private:
  using ScrubCallback = std::function<void(base::ResultCode, const std::vector<std::string>&)>;
  struct PendingCommit {
    std::vector<Record> records;
    CommitCallback callback;
    base::TimePoint deadline;
    /** The records are the whole state, to replace all files. */
    bool replaces_all = false;
  };
  struct Scrub {
    ScrubCallback callback;
    std::vector<std::string> files;
    std::vector<std::string> damaged_keys;
    bool started = false;
    bool damaged = false;
  };

  void startNext();
  void startOpen();
  void startCommits();
  void startRewrite();
  void startScrubStep();
  void startCompactionStep();
  void finishOpen(base::ResultCode code, const OpenedStore& opened);
  void finishCommits(base::ResultCode code);
  void finishScrubStep();
  /** Runs `work` on the executor and `completion` here, unless the store is gone by then. */
  void run(std::function<void()> work, std::function<void()> completion);
  void armTimeout();
  void onTimeout();
  void answerLater(CommitCallback callback, base::ResultCode code);

  base::Dispatcher& dispatcher_;
  StorageExecutor& executor_;
  base::RandomSource& random_;
  const FileRecordStoreOptions options_;
  /** Used on the executor only. */
  std::shared_ptr<RecordDirectory> directory_;
  base::TimerPtr timeout_;
  std::deque<OpenCallback> opens_;
  std::deque<PendingCommit> queued_;
  std::vector<PendingCommit> under_way_;
  std::deque<std::shared_ptr<Scrub>> scrubs_;
  bool busy_ = false;
  bool open_ = false;
  /** The piece under way has outlasted the bound of a commit. */
  bool slow_ = false;
  bool compaction_due_ = false;
  /** Compaction met a corrupt file; it rests until the store is opened again. */
  bool compaction_blocked_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::storage
