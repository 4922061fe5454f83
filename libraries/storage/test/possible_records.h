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
 * What a store may hold after any faults. Each commit writes one tag to both keys of a pair, or
 * erases both, so that a commit done by half shows. An acknowledged commit rules out the tags
 * of those before it; one whose answer is missing or not Ok leaves both outcomes possible.
 */
class PossibleRecords {
 public:
  static std::vector<Record> makeCommit(int pair, const std::string& tag) {
    return {{leftKey(pair), tag, tag.empty()}, {rightKey(pair), tag, tag.empty()}};
  }
  /** Returns the commit's number. */
  std::uint64_t handedIn(int pair, const std::string& tag) {
    commits(pair).emplace(++last_number_, tag);
    return last_number_;
  }
  /** Rules out what was handed in before, since commits keep their order. */
  void acknowledged(int pair, std::uint64_t number) {
    Commits& possible = commits(pair);
    possible.erase(possible.begin(), possible.lower_bound(number));
  }
  /** Refused without anything having been written. */
  void notWritten(int pair, std::uint64_t number) { commits(pair).erase(number); }
  /** Checks what was read and takes it as the only possibility from now on. */
  void expect(const std::map<std::string, std::string>& records) {
    std::size_t found = 0;
    for (auto& [pair, possible] : commits_) {
      const std::string left = valueOf(records, leftKey(pair));
      EXPECT_EQ(left, valueOf(records, rightKey(pair))) << "a commit is there by half";
      const auto is_left = [&left](const auto& commit) { return commit.second == left; };
      EXPECT_TRUE(std::any_of(possible.begin(), possible.end(), is_left))
          << "pair " << pair << " holds \"" << left << "\"";
      possible = {{0, left}};
      found += left.empty() ? 0 : 2;
    }
    EXPECT_EQ(records.size(), found) << "there are keys nobody wrote";
  }

 private:
  static std::string leftKey(int pair) { return "left" + std::to_string(pair); }
  static std::string rightKey(int pair) { return "right" + std::to_string(pair); }
  static std::string valueOf(const std::map<std::string, std::string>& records,
                             const std::string& key) {
    const auto found = records.find(key);
    return found == records.end() ? "" : found->second;
  }
  /** Tags by number of their commit; an empty tag stands for both keys being absent. */
  using Commits = std::map<std::uint64_t, std::string>;
  Commits& commits(int pair) { return commits_.try_emplace(pair, Commits{{0, ""}}).first->second; }

  std::map<int, Commits> commits_;
  std::uint64_t last_number_ = 0;
};

}  // namespace switchsaddle::storage
