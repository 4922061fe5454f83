#include "commit_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace switchsaddle::storage {

namespace {

template <class Commits>
CommitQueue::Callbacks extractCallbacks(Commits& commits) {
  CommitQueue::Callbacks callbacks;
  for (PendingCommit& commit : commits) {
    callbacks.push_back(std::move(commit.callback));
  }
  commits.clear();
  return callbacks;
}

}  // namespace

std::optional<base::TimePoint> CommitQueue::nextDeadline() const {
  if (!in_flight_.empty()) {
    return in_flight_.front().deadline;
  }
  return queue_.empty() ? std::nullopt : std::optional(queue_.front().deadline);
}

std::vector<Record> CommitQueue::startCommits() {
  std::vector<Record> records;
  while (!queue_.empty() && !queue_.front().is_rewrite) {
    PendingCommit commit = std::move(queue_.front());
    queue_.pop_front();
    std::move(commit.records.begin(), commit.records.end(), std::back_inserter(records));
    commit.records.clear();
    in_flight_.push_back(std::move(commit));
  }
  return records;
}

std::vector<Record> CommitQueue::extractRewrite() {
  std::vector<Record> state = std::move(queue_.front().records);
  queue_.pop_front();
  return state;
}

CommitQueue::Callbacks CommitQueue::extractInFlight() {
  return extractCallbacks(in_flight_);
}

CommitQueue::Callbacks CommitQueue::extractQueued() {
  return extractCallbacks(queue_);
}

}  // namespace switchsaddle::storage
