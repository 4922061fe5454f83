#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "switchsaddle/journal/journal.h"

namespace switchsaddle::journal {

/** What a node believes of one item, by the newest event about it. */
struct Belief {
  std::string value;
  std::uint64_t version = 0;
  /** Since when the node has held it. */
  base::TimePoint at;
};

/**
 * The view behind GET /v1/beliefs: folds the journal into the newest belief of each subject and
 * key. An event with an empty value withdraws the belief. Runs on the journal's strand.
 */
class BeliefView {
 public:
  using Key = std::pair<Subject, std::string>;

  /** Listens to the journal from now on, which must outlive the view. */
  explicit BeliefView(Journal& journal);
  BeliefView(const BeliefView&) = delete;
  BeliefView& operator=(const BeliefView&) = delete;

  const std::map<Key, Belief>& beliefs() const { return beliefs_; }
  /** Digest of all beliefs about a subject; equal beliefs have equal digests on all nodes. */
  std::uint64_t digest(Subject subject) const;

 private:
  void fold(const Event& event);

  std::map<Key, Belief> beliefs_;
};

}  // namespace switchsaddle::journal
