#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/journal/journal.h"

namespace switchsaddle::journal {

/** A node's state of one item, from the newest event about it. */
struct StateEntry {
  std::string value;
  std::uint64_t version = 0;
  /** Time at which the node recorded it. */
  base::TimePoint at;
};

/**
 * The view behind GET /v1/beliefs: reduces the journal to the newest state of each subject and key.
 * An event with an empty value removes the entry. Runs on the journal's strand.
 */
class StateView {
 public:
  using Key = std::pair<Subject, std::string>;

  /** Applies the journal's events, and those appended later. */
  explicit StateView(Journal& journal);
  StateView(const StateView&) = delete;
  StateView& operator=(const StateView&) = delete;

  const std::map<Key, StateEntry>& entries() const { return entries_; }
  /** @return the digest of all entries of a subject; equal entries have equal digests on all nodes.
   */
  std::uint64_t digest(Subject subject) const;

 private:
  void apply(const Event& event);

  std::map<Key, StateEntry> entries_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::journal
