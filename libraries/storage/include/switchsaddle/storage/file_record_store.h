#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/storage/file_system.h"
#include "switchsaddle/storage/record_store.h"
#include "switchsaddle/storage/storage_executor.h"

namespace switchsaddle::storage {

/** Limits and time-outs of a FileRecordStore. */
struct FileRecordStoreOptions {
  /** A commit that is not durable after this time completes with StorageSlow. */
  base::Duration commit_timeout = std::chrono::seconds(2);
  /** Number of commit files, or their total size, from which they are merged into one run. */
  std::size_t commits_for_run = 64;
  std::size_t bytes_for_run = 4U << 20U;
  /** Number of runs, or their total size, from which they are merged into the bucket files. */
  std::size_t runs_for_merge = 256;
  std::size_t bytes_for_merge = 16U << 20U;
  /** Number of buckets into which the state is divided by key. Positive, and fixed when a folder is
   * created. More buckets make each step of a merge shorter, which reduces the longest wait of a
   * commit. */
  std::size_t bucket_count = 64;
};

class CommitQueue;
class RecordDirectory;
class ScrubJob;

/**
 * A RecordStore on a FileSystem. It queues commits on the strand and runs the disk work on the
 * executor in bounded steps, one at a time: opening, then commits, then scrubbing, then compaction.
 * Values are not kept in memory. The file system and the executor must outlive the store. No
 * callback runs after its destruction, which may happen within a callback. Runs on the dispatcher's
 * strand.
 */
class FileRecordStore : public RecordStore {
 public:
  FileRecordStore(base::Dispatcher& dispatcher, FileSystem& file_system, StorageExecutor& executor,
                  base::RandomSource& random, FileRecordStoreOptions options = {});
  ~FileRecordStore() override;

  /** Fails the queued commits with StorageFailed, then reads the folder again. Completes with
   * StorageFailed or StorageFull if the disk fails; open() may then be called again. */
  void open(OpenCallback callback) override;
  /** Completes with Ok once the records are durable. StorageFull: nothing was written. StorageSlow:
   * the outcome is unknown until the store has been opened again. StorageFailed: the store is not
   * open, or a sync has failed. */
  void commit(std::vector<Record> records, CommitCallback callback) override;
  void rewrite(std::vector<Record> state) override;
  /** Completes with RecordCorrupt if any byte is damaged. The keys are complete unless a file's
   * table of keys is itself damaged or the file is missing. */
  void scrub(
      std::function<void(base::ResultCode, const std::vector<std::string>&)> callback) override;

 private:
  using ScrubCallback = std::function<void(base::ResultCode, const std::vector<std::string>&)>;

  /** Starts the most urgent step unless one is in progress. */
  void startNext();
  /** Runs `work` on the executor, and then `completion` here. */
  void run(std::function<void()> work, std::function<void()> completion);
  void startOpen();
  void finishOpen(base::ResultCode code, const OpenedStore& opened);
  void enqueue(std::vector<Record> records, CommitCallback callback, bool is_rewrite);
  void startCommits();
  void finishCommits(base::ResultCode code);
  void startRewrite();
  void startScrubStep();
  void finishScrubStep();
  void startCompactionStep();
  void armCommitTimer();
  void onCommitTimeout();
  void postResult(CommitCallback callback, base::ResultCode code);

  base::Dispatcher& dispatcher_;
  StorageExecutor& executor_;
  base::RandomSource& random_;
  const FileRecordStoreOptions options_;
  /** Used on the executor only. */
  std::shared_ptr<RecordDirectory> directory_;
  std::deque<OpenCallback> opens_;
  std::unique_ptr<CommitQueue> commits_;
  std::deque<std::shared_ptr<ScrubJob>> scrubs_;
  /** Whether a step is in progress on the executor. */
  bool busy_ = false;
  bool open_ = false;
  /** Whether a commit timed out during the step in progress. */
  bool step_overdue_ = false;
  bool compaction_due_ = false;
  /** Set when compaction found a corrupt file, until the store is opened or rewritten. */
  bool compaction_blocked_ = false;
  base::TimerPtr commit_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::storage
