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
 * Commits an acceptor's records to its store and recovers from a failed commit. After a failure the
 * store is reopened, with a pause before each attempt, until its content has been loaded again.
 * Commits that are pending when another one fails count as failed too, since their records may
 * depend on those that were lost. Runs on the acceptor's strand.
 */
class AcceptorStorage {
 public:
  using CommitCallback = std::function<void(bool synced)>;
  /** Loads a reopened store and calls markLoaded(); may throw base::Error. */
  using LoadFunction = std::function<void(const storage::OpenedStore& opened)>;

  AcceptorStorage(base::Dispatcher& dispatcher, storage::RecordStore& store,
                  journal::Journal& journal, base::Duration reopen_pause, LoadFunction load);

  void commit(std::vector<storage::Record> records, CommitCallback callback);
  /** Called when a commit of this acceptor or of another user of the store has failed. */
  void reportCommitFailure(base::ResultCode code);
  /** Called when the content of the store has been loaded, so that commits can succeed again. */
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
