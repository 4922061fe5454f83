#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::storage {

/**
 * The records that a store may contain after any faults. Each commit writes one tag to both keys of
 * a pair, or erases both, so that a partial commit is detected. An acknowledged commit excludes the
 * tags of those before it; a commit without a result, or with one other than Ok, leaves both
 * outcomes possible.
 */
class PossibleRecords {
 public:
  static std::vector<Record> makeCommit(int pair, const std::string& tag) {
    return {{leftKey(pair), tag, tag.empty()}, {rightKey(pair), tag, tag.empty()}};
  }
  /** @return the commit's number. */
  std::uint64_t submitted(int pair, const std::string& tag) {
    commits(pair).emplace(++last_number_, tag);
    return last_number_;
  }
  /** Excludes the commits submitted before, since commits keep their order. */
  void acknowledged(int pair, std::uint64_t number) {
    Commits& possible = commits(pair);
    possible.erase(possible.begin(), possible.lower_bound(number));
  }
  /** The commit was rejected without a write. */
  void notWritten(int pair, std::uint64_t number) { commits(pair).erase(number); }
  /** Checks the records read, which from then on are the only possible ones. */
  void expect(const std::map<std::string, std::string>& records) {
    std::size_t found = 0;
    for (auto& [pair, possible] : commits_) {
      const std::string left = valueOf(records, leftKey(pair));
      EXPECT_EQ(left, valueOf(records, rightKey(pair))) << "a commit was applied in part";
      const auto is_left = [&left](const auto& commit) { return commit.second == left; };
      EXPECT_TRUE(std::any_of(possible.begin(), possible.end(), is_left))
          << "pair " << pair << " has \"" << left << "\"";
      possible = {{0, left}};
      found += left.empty() ? 0 : 2;
    }
    EXPECT_EQ(records.size(), found) << "the store contains keys that were never written";
  }

 private:
  static std::string leftKey(int pair) { return "left" + std::to_string(pair); }
  static std::string rightKey(int pair) { return "right" + std::to_string(pair); }
  static std::string valueOf(const std::map<std::string, std::string>& records,
                             const std::string& key) {
    const auto found = records.find(key);
    return found == records.end() ? "" : found->second;
  }
  /** Tags by number of their commit; an empty tag means that both keys are absent. */
  using Commits = std::map<std::uint64_t, std::string>;
  Commits& commits(int pair) { return commits_.try_emplace(pair, Commits{{0, ""}}).first->second; }

  std::map<int, Commits> commits_;
  std::uint64_t last_number_ = 0;
};

}  // namespace switchsaddle::storage
