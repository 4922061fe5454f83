#include "switchsaddle/configuration/beliefs.h"

#include <gtest/gtest.h>

namespace switchsaddle::configuration::test {
namespace {

BeliefReport report(const std::string& node, std::vector<Belief> beliefs) {
  return {node, 1'000, std::move(beliefs)};
}

TEST(BeliefsTest, ListsDifferencesInOrder) {
  const BeliefReport first = report("a", {{"worker", "w2", "ready", 3, 10},
                                          {"lease", "watcher", "core-1", 1, 5},
                                          {"worker", "w1", "ready", 3, 10}});
  const BeliefReport second = report("b", {{"worker", "w2", "draining", 3, 99},
                                           {"worker", "w3", "ready", 1, 7},
                                           {"worker", "w1", "ready", 3, 500}});
  const std::vector<BeliefDifference> differences = compareBeliefs(first, second);
  ASSERT_EQ(differences.size(), 3);
  EXPECT_EQ(differences[0].key, "watcher");
  EXPECT_EQ(differences[0].kind, BeliefDifferenceKind::OnlyFirst);
  EXPECT_EQ(differences[1].key, "w2");
  EXPECT_EQ(differences[1].second->since_ms, 99);
  EXPECT_EQ(differences[2].kind, BeliefDifferenceKind::OnlySecond);
  const std::string table = renderDifferences(first, second, differences);
  EXPECT_NE(table.find("draining  (version 3, held for 99 ms)"), std::string::npos) << table;
}

TEST(BeliefsTest, AnotherVersionOfTheSameValueIsADifference) {
  const BeliefReport first = report("a", {{"entry", "p", "1", 3, 10}});
  EXPECT_EQ(compareBeliefs(first, report("b", {{"entry", "p", "1", 4, 10}})).size(), 1);
  EXPECT_TRUE(compareBeliefs(first, first).empty());
}

TEST(BeliefsTest, ReportsSurviveTheirText) {
  const BeliefReport first = report("a", {{"entry", "p\"", "1", 3, 10}});
  std::vector<Fault> faults;
  const std::optional<BeliefReport> read = parseBeliefs(renderBeliefs(first), faults);
  ASSERT_TRUE(read);
  EXPECT_TRUE(compareBeliefs(first, *read).empty());
  EXPECT_EQ(read->beliefs[0].since_ms, 10);
  EXPECT_FALSE(parseBeliefs(R"({"beliefs": [{}]})", faults));
  EXPECT_EQ(faults.size(), 3);
}

}  // namespace
}  // namespace switchsaddle::configuration::test
