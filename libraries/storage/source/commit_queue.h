#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::storage {

/** A commit or a rewrite of the complete state that has not completed. */
struct PendingCommit {
  std::vector<Record> records;
  CommitCallback callback;
  base::TimePoint deadline;
  /** Whether the records are the complete state, which replaces all files. */
  bool is_rewrite = false;
};

/**
 * The commits of a store in the order of their submission, which is also the order of their
 * deadlines. Commits in flight are being written together; the others are queued. Callbacks are
 * returned instead of called, since they may destroy the store. Runs on the store's strand.
 */
class CommitQueue {
 public:
  using Callbacks = std::vector<CommitCallback>;

  void add(PendingCommit commit) { queue_.push_back(std::move(commit)); }
  /** Whether nothing is queued; commits may still be in flight. */
  bool queueEmpty() const { return queue_.empty(); }
  bool nextIsRewrite() const { return !queue_.empty() && queue_.front().is_rewrite; }
  /** @return the earliest deadline of all commits, or std::nullopt if there are none. */
  std::optional<base::TimePoint> nextDeadline() const;

  /** Moves the commits up to the next rewrite into flight. @return their records in order. */
  std::vector<Record> startCommits();
  /** Removes the rewrite at the head of the queue. @return its records. */
  std::vector<Record> extractRewrite();
  /** Removes the commits in flight. */
  Callbacks extractInFlight();
  /** Removes the queued commits. */
  Callbacks extractQueued();

 private:
  std::vector<PendingCommit> in_flight_;
  std::deque<PendingCommit> queue_;
};

}  // namespace switchsaddle::storage
