#include "switchsaddle/storage/file_record_store.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

#include "commit_queue.h"
#include "record_directory.h"
#include "scrub_job.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::storage {

namespace {

/** Runs disk work. @return Ok, or the code of its error; StorageFailed if the error has no code. */
base::ResultCode resultOf(const std::function<void()>& work) {
  try {
    work();
    return base::ResultCode::Ok;
  } catch (const base::Error& error) {
    return error.code();
  } catch (const std::exception&) {
    return base::ResultCode::StorageFailed;
  }
}

/** Calls each, also after one that throws. @throws the first exception of a callback. */
void callAll(const CommitQueue::Callbacks& callbacks, base::ResultCode code) {
  std::exception_ptr first;
  for (const auto& callback : callbacks) {
    try {
      callback(code);
    } catch (...) {
      first = first ? first : std::current_exception();
    }
  }
  if (first) {
    std::rethrow_exception(first);
  }
}

}  // namespace

FileRecordStore::FileRecordStore(base::Dispatcher& dispatcher, FileSystem& file_system,
                                 StorageExecutor& executor, base::RandomSource& random,
                                 FileRecordStoreOptions options)
    : dispatcher_(dispatcher),
      executor_(executor),
      random_(random),
      options_(options),
      directory_(std::make_shared<RecordDirectory>(file_system, options)),
      commits_(std::make_unique<CommitQueue>()),
      commit_timer_(dispatcher.createTimer([this] { onCommitTimeout(); })) {}

FileRecordStore::~FileRecordStore() = default;

void FileRecordStore::open(OpenCallback callback) {
  open_ = false;
  opens_.push_back(std::move(callback));
  for (CommitCallback& rejected : commits_->extractQueued()) {
    postResult(std::move(rejected), base::ResultCode::StorageFailed);
  }
  startNext();
}

void FileRecordStore::commit(std::vector<Record> records, CommitCallback callback) {
  CommitCallback guarded = callbacks_.guard(std::move(callback));
  if (!open_) {
    postResult(std::move(guarded), base::ResultCode::StorageFailed);
    return;
  }
  if (step_overdue_) {
    postResult(std::move(guarded), base::ResultCode::StorageSlow);
    return;
  }
  enqueue(std::move(records), std::move(guarded), false);
}

void FileRecordStore::rewrite(std::vector<Record> state) {
  if (open_ && !step_overdue_) {
    enqueue(
        std::move(state), [](base::ResultCode) {}, true);
  }
}

void FileRecordStore::enqueue(std::vector<Record> records, CommitCallback callback,
                              bool is_rewrite) {
  const base::TimePoint deadline = dispatcher_.now() + options_.commit_timeout;
  commits_->add(PendingCommit{std::move(records), std::move(callback), deadline, is_rewrite});
  startNext();
  armCommitTimer();
}

void FileRecordStore::scrub(ScrubCallback callback) {
  scrubs_.push_back(std::make_shared<ScrubJob>(std::move(callback)));
  startNext();
}

void FileRecordStore::startNext() {
  if (busy_) {
    return;
  }
  if (!opens_.empty()) {
    startOpen();
  } else if (commits_->nextIsRewrite()) {
    startRewrite();
  } else if (!commits_->queueEmpty()) {
    startCommits();
  } else if (!scrubs_.empty()) {
    startScrubStep();
  } else if (open_ && compaction_due_ && !compaction_blocked_) {
    startCompactionStep();
  }
}

void FileRecordStore::run(std::function<void()> work, std::function<void()> completion) {
  busy_ = true;
  executor_.execute(
      std::move(work),
      callbacks_.guard([this, completion = std::move(completion),
                        start_next = callbacks_.guard([this] { startNext(); })]() mutable {
        busy_ = false;
        step_overdue_ = false;
        // Runs callbacks of the caller, which may destroy the store.
        try {
          completion();
        } catch (...) {
          start_next();
          throw;
        }
        start_next();
      }));
}

void FileRecordStore::startOpen() {
  auto opened = std::make_shared<OpenedStore>();
  auto code = std::make_shared<base::ResultCode>();
  run(
      [directory = directory_, opened, code, candidate = random_.next()] {
        *code = resultOf([&] { *opened = directory->open(candidate); });
      },
      [this, opened, code] { finishOpen(*code, *opened); });
}

void FileRecordStore::finishOpen(base::ResultCode code, const OpenedStore& opened) {
  const OpenCallback callback = std::move(opens_.front());
  opens_.pop_front();
  open_ = code == base::ResultCode::Ok && opens_.empty();
  compaction_due_ = true;
  compaction_blocked_ = false;
  callback(code, opened);
}

void FileRecordStore::startCommits() {
  auto records = std::make_shared<std::vector<Record>>(commits_->startCommits());
  auto code = std::make_shared<base::ResultCode>();
  run([directory = directory_, records,
       code] { *code = resultOf([&] { directory->append(std::move(*records)); }); },
      [this, code] { finishCommits(*code); });
}

void FileRecordStore::finishCommits(base::ResultCode code) {
  compaction_due_ = true;
  const CommitQueue::Callbacks callbacks = commits_->extractInFlight();
  armCommitTimer();
  callAll(callbacks, code);
}

void FileRecordStore::startRewrite() {
  auto state = std::make_shared<std::vector<Record>>(commits_->extractRewrite());
  armCommitTimer();
  // A rewrite that fails is made up for by the next one.
  run([directory = directory_,
       state] { resultOf([&] { directory->beginRewrite(std::move(*state)); }); },
      [this] {
        compaction_due_ = true;
        compaction_blocked_ = false;
      });
}

void FileRecordStore::startScrubStep() {
  run(
      [directory = directory_, scrub = scrubs_.front()] {
        if (resultOf([&] { scrub->step(*directory); }) != base::ResultCode::Ok) {
          scrub->abandon();
        }
      },
      [this] { finishScrubStep(); });
}

void FileRecordStore::finishScrubStep() {
  const std::shared_ptr<ScrubJob> scrub = scrubs_.front();
  if (scrub->done()) {
    scrubs_.pop_front();
    scrub->report();
  }
}

void FileRecordStore::startCompactionStep() {
  auto code = std::make_shared<base::ResultCode>();
  auto more = std::make_shared<bool>(false);
  run([directory = directory_, code,
       more] { *code = resultOf([&] { *more = directory->compact(); }); },
      [this, code, more] {
        // After a failure, such as a full disk, the next commit makes compaction due again.
        compaction_due_ = *more;
        compaction_blocked_ = *code == base::ResultCode::RecordCorrupt;
      });
}

void FileRecordStore::armCommitTimer() {
  const std::optional<base::TimePoint> deadline = commits_->nextDeadline();
  if (!deadline) {
    commit_timer_->disable();
    return;
  }
  commit_timer_->enable(std::max(base::Duration::zero(), *deadline - dispatcher_.now()));
}

void FileRecordStore::onCommitTimeout() {
  step_overdue_ = true;
  CommitQueue::Callbacks callbacks = commits_->extractInFlight();
  CommitQueue::Callbacks queued = commits_->extractQueued();
  std::move(queued.begin(), queued.end(), std::back_inserter(callbacks));
  callAll(callbacks, base::ResultCode::StorageSlow);
}

void FileRecordStore::postResult(CommitCallback callback, base::ResultCode code) {
  dispatcher_.post([callback = std::move(callback), code] { callback(code); });
}

}  // namespace switchsaddle::storage
