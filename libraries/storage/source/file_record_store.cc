#include "switchsaddle/storage/file_record_store.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

#include "record_directory.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::storage {

namespace {

/** Runs disk work and tells its result. What is not an error of the disk becomes StorageFailed. */
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

}  // namespace

FileRecordStore::FileRecordStore(base::Dispatcher& dispatcher, FileSystem& file_system,
                                 StorageExecutor& executor, base::RandomSource& random,
                                 FileRecordStoreOptions options)
    : dispatcher_(dispatcher),
      executor_(executor),
      random_(random),
      options_(options),
      directory_(std::make_shared<RecordDirectory>(file_system, options)),
      timeout_(dispatcher.createTimer([this] { onTimeout(); })) {}

FileRecordStore::~FileRecordStore() = default;

void FileRecordStore::open(OpenCallback callback) {
  open_ = false;
  opens_.push_back(std::move(callback));
  std::deque<PendingCommit> refused = std::exchange(queued_, {});
  for (PendingCommit& commit : refused) {
    answerLater(std::move(commit.callback), base::ResultCode::StorageFailed);
  }
  startNext();
}

void FileRecordStore::commit(std::vector<Record> records, CommitCallback callback) {
  if (!open_) {
    answerLater(std::move(callback), base::ResultCode::StorageFailed);
    return;
  }
  if (slow_) {
    answerLater(std::move(callback), base::ResultCode::StorageSlow);
    return;
  }
  const base::TimePoint deadline = dispatcher_.now() + options_.commit_timeout;
  queued_.push_back(PendingCommit{std::move(records), std::move(callback), deadline, false});
  startNext();
  armTimeout();
}

void FileRecordStore::rewrite(std::vector<Record> state) {
  if (!open_ || slow_) {
    return;
  }
  const base::TimePoint deadline = dispatcher_.now() + options_.commit_timeout;
  queued_.push_back(PendingCommit{std::move(state), [](base::ResultCode) {}, deadline, true});
  startNext();
  armTimeout();
}

void FileRecordStore::scrub(ScrubCallback callback) {
  auto scrub = std::make_shared<Scrub>();
  scrub->callback = std::move(callback);
  scrubs_.push_back(std::move(scrub));
  startNext();
}

void FileRecordStore::startNext() {
  if (busy_) {
    return;
  }
  if (!opens_.empty()) {
    startOpen();
  } else if (!queued_.empty()) {
    startCommits();
  } else if (!scrubs_.empty()) {
    startScrubStep();
  } else if (open_ && compaction_due_ && !compaction_blocked_) {
    startCompactionStep();
  }
}

void FileRecordStore::run(std::function<void()> work, std::function<void()> completion) {
  busy_ = true;
  executor_.execute(std::move(work), [this, alive = std::weak_ptr<bool>(alive_),
                                      completion = std::move(completion)] {
    if (alive.expired()) {
      return;
    }
    busy_ = false;
    slow_ = false;
    completion();
    if (!alive.expired()) {
      startNext();
    }
  });
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
  OpenCallback callback = std::move(opens_.front());
  opens_.pop_front();
  open_ = code == base::ResultCode::Ok && opens_.empty();
  compaction_due_ = true;
  compaction_blocked_ = false;
  callback(code, opened);
}

void FileRecordStore::startCommits() {
  if (queued_.front().replaces_all) {
    startRewrite();
    return;
  }
  auto records = std::make_shared<std::vector<Record>>();
  while (!queued_.empty() && !queued_.front().replaces_all) {
    PendingCommit commit = std::move(queued_.front());
    queued_.pop_front();
    std::move(commit.records.begin(), commit.records.end(), std::back_inserter(*records));
    commit.records.clear();
    under_way_.push_back(std::move(commit));
  }
  auto code = std::make_shared<base::ResultCode>();
  run([directory = directory_, records,
       code] { *code = resultOf([&] { directory->append(std::move(*records)); }); },
      [this, code] { finishCommits(*code); });
}

void FileRecordStore::finishCommits(base::ResultCode code) {
  compaction_due_ = true;
  const std::vector<PendingCommit> finished = std::exchange(under_way_, {});
  armTimeout();
  const std::weak_ptr<bool> alive = alive_;
  for (const PendingCommit& commit : finished) {
    commit.callback(code);
    if (alive.expired()) {
      return;
    }
  }
}

void FileRecordStore::startRewrite() {
  auto state = std::make_shared<std::vector<Record>>(std::move(queued_.front().records));
  queued_.pop_front();
  armTimeout();
  run([directory = directory_, state] { directory->beginRewrite(std::move(*state)); },
      [this] {
        compaction_due_ = true;
        compaction_blocked_ = false;
      });
}

void FileRecordStore::startScrubStep() {
  const std::shared_ptr<Scrub> scrub = scrubs_.front();
  run(
      [directory = directory_, scrub] {
        if (!scrub->started) {
          scrub->files = directory->liveFiles();
          scrub->started = true;
          return;
        }
        ScrubbedFile found = directory->scrub(scrub->files.back());
        scrub->files.pop_back();
        scrub->damaged = scrub->damaged || !found.intact;
        std::move(found.damaged_keys.begin(), found.damaged_keys.end(),
                  std::back_inserter(scrub->damaged_keys));
      },
      [this] { finishScrubStep(); });
}

void FileRecordStore::finishScrubStep() {
  const std::shared_ptr<Scrub> scrub = scrubs_.front();
  if (!scrub->files.empty()) {
    return;
  }
  scrubs_.pop_front();
  const base::ResultCode code =
      scrub->damaged ? base::ResultCode::RecordCorrupt : base::ResultCode::Ok;
  scrub->callback(code, scrub->damaged_keys);
}

void FileRecordStore::startCompactionStep() {
  auto code = std::make_shared<base::ResultCode>();
  auto more = std::make_shared<bool>(false);
  run([directory = directory_, code,
       more] { *code = resultOf([&] { *more = directory->compact(); }); },
      [this, code, more] {
        // A full disk is tried again after the next commit.
        compaction_due_ = *more;
        compaction_blocked_ = *code == base::ResultCode::RecordCorrupt;
      });
}

void FileRecordStore::armTimeout() {
  // Commits under way are older than those queued, and both are in order of their deadlines.
  if (under_way_.empty() && queued_.empty()) {
    timeout_->disable();
    return;
  }
  const PendingCommit& oldest = under_way_.empty() ? queued_.front() : under_way_.front();
  timeout_->enable(std::max(base::Duration::zero(), oldest.deadline - dispatcher_.now()));
}

void FileRecordStore::onTimeout() {
  slow_ = true;
  std::vector<PendingCommit> late = std::exchange(under_way_, {});
  std::move(queued_.begin(), queued_.end(), std::back_inserter(late));
  queued_.clear();
  const std::weak_ptr<bool> alive = alive_;
  for (const PendingCommit& commit : late) {
    commit.callback(base::ResultCode::StorageSlow);
    if (alive.expired()) {
      return;
    }
  }
}

void FileRecordStore::answerLater(CommitCallback callback, base::ResultCode code) {
  dispatcher_.post([alive = std::weak_ptr<bool>(alive_), callback = std::move(callback), code] {
    if (!alive.expired()) {
      callback(code);
    }
  });
}

}  // namespace switchsaddle::storage
