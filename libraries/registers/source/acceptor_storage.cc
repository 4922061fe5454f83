#include "acceptor_storage.h"

#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::registers {

AcceptorStorage::AcceptorStorage(base::Dispatcher& dispatcher, storage::RecordStore& store,
                                 journal::Journal& journal, base::Duration reopen_pause,
                                 LoadFunction load)
    : store_(store),
      journal_(journal),
      reopen_pause_(reopen_pause),
      load_(std::move(load)),
      reopen_timer_(dispatcher.createTimer([this] { reopen(); })) {}

void AcceptorStorage::commit(std::vector<storage::Record> records, CommitCallback callback) {
  store_.commit(std::move(records),
                callbacks_.guard([this, failures = commit_failures_,
                                  callback = std::move(callback)](base::ResultCode code) {
                  if (code != base::ResultCode::Ok) {
                    reportCommitFailure(code);
                  }
                  callback(failures == commit_failures_);
                }));
}

void AcceptorStorage::reportCommitFailure(base::ResultCode code) {
  ++commit_failures_;
  if (failed_) {
    return;
  }
  failed_ = true;
  journal_.append(journal::Subject::Storage, "acceptor", base::describe(code).name.data(), 0);
  reopen_timer_->enable(reopen_pause_);
}

void AcceptorStorage::markLoaded() {
  loaded_ = true;
  failed_ = false;
}

void AcceptorStorage::reopen() {
  store_.open(callbacks_.guard([this](base::ResultCode code, const storage::OpenedStore& opened) {
    if (code != base::ResultCode::Ok) {
      reopen_timer_->enable(reopen_pause_);
      return;
    }
    try {
      load_(opened);
    } catch (const base::Error&) {
      reopen_timer_->enable(reopen_pause_);
    }
  }));
}

}  // namespace switchsaddle::registers
