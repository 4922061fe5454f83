#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "switchsaddle/journal/journal.h"

namespace switchsaddle::journal {

/** What a node believes of one item, by the newest event about it. */
struct StateEntry {
  std::string value;
  std::uint64_t version = 0;
  /** Since when the node has held it. */
  base::TimePoint at;
};

/**
 * The view behind GET /v1/beliefs: folds the journal into the newest belief of each subject and
 * key. An event with an empty value withdraws the belief. Runs on the journal's strand.
 */
class StateView {
 public:
  using Key = std::pair<Subject, std::string>;

  /** Listens to the journal from now on, which must outlive the view. */
  explicit StateView(Journal& journal);
  StateView(const StateView&) = delete;
  StateView& operator=(const StateView&) = delete;

  const std::map<Key, StateEntry>& entries() const { return entries_; }
  /** Digest of all beliefs about a subject; equal beliefs have equal digests on all nodes. */
  std::uint64_t digest(Subject subject) const;

 private:
  void fold(const Event& event);

  std::map<Key, StateEntry> entries_;
};

}  // namespace switchsaddle::journal
