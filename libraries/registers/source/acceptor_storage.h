#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::registers {

/**
 * An acceptor's use of its record store: commits, and recovery from a failed one. After a failure
 * the store is reopened, with a pause before each attempt, until its content has been loaded again.
 * A commit submitted before a failure counts as failed too, since its records may build on those
 * that were lost. Runs on the acceptor's strand.
 */
class AcceptorStorage {
 public:
  using CommitCallback = std::function<void(bool synced)>;
  /** Loads a reopened store and calls markLoaded(); may throw base::Error. */
  using LoadFunction = std::function<void(const storage::OpenedStore& opened)>;

  AcceptorStorage(base::Dispatcher& dispatcher, storage::RecordStore& store,
                  journal::Journal& journal, base::Duration reopen_pause, LoadFunction load);

  void commit(std::vector<storage::Record> records, CommitCallback callback);
  /** A commit to the store failed, by this acceptor or another user of it. */
  void reportCommitFailure(base::ResultCode code);
  /** The content of the store has been loaded, so that commits build on it again. */
  void markLoaded();
  /** Whether the content has been loaded, and no commit has failed since. */
  bool usable() const { return loaded_ && !failed_; }
  /** Whether the content has been loaded at any time. */
  bool loaded() const { return loaded_; }

 private:
  void reopen();

  storage::RecordStore& store_;
  journal::Journal& journal_;
  base::Duration reopen_pause_;
  LoadFunction load_;
  bool loaded_ = false;
  bool failed_ = false;
  std::uint64_t commit_failures_ = 0;
  base::TimerPtr reopen_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::registers
