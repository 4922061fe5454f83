#include "switchsaddle/configuration/state_report.h"

#include <gtest/gtest.h>

namespace switchsaddle::configuration::test {
namespace {

StateReport report(const std::string& node, std::vector<StateEntry> entries) {
  return {node, 1'000, std::move(entries)};
}

TEST(StateReportTest, ListsDifferencesInOrder) {
  const StateReport first = report("a", {{"worker", "w2", "ready", 3, 10},
                                         {"lease", "watcher", "core-1", 1, 5},
                                         {"worker", "w1", "ready", 3, 10}});
  const StateReport second = report("b", {{"worker", "w2", "draining", 3, 99},
                                          {"worker", "w3", "ready", 1, 7},
                                          {"worker", "w1", "ready", 3, 500}});
  const std::vector<StateDifference> differences = compareStates(first, second);
  ASSERT_EQ(differences.size(), 3);
  EXPECT_EQ(differences[0].key, "watcher");
  EXPECT_EQ(differences[0].kind, StateDifferenceKind::OnlyFirst);
  EXPECT_EQ(differences[1].key, "w2");
  EXPECT_EQ(differences[1].second->since_ms, 99);
  EXPECT_EQ(differences[2].kind, StateDifferenceKind::OnlySecond);
  const std::string table = renderDifferences(first, second, differences);
  EXPECT_NE(table.find("draining  (version 3, held for 99 ms)"), std::string::npos) << table;
}

TEST(StateReportTest, VersionsAreCompared) {
  const StateReport first = report("a", {{"entry", "p", "1", 3, 10}});
  EXPECT_EQ(compareStates(first, report("b", {{"entry", "p", "1", 4, 10}})).size(), 1);
  EXPECT_TRUE(compareStates(first, first).empty());
}

TEST(StateReportTest, ReportsRoundTrip) {
  const StateReport first = report("a", {{"entry", "p\"", "1", 3, 10}});
  std::vector<Fault> faults;
  const std::optional<StateReport> read = parseStateReport(renderStateReport(first), faults);
  ASSERT_TRUE(read);
  EXPECT_TRUE(compareStates(first, *read).empty());
  EXPECT_EQ(read->entries[0].since_ms, 10);
  EXPECT_FALSE(parseStateReport(R"({"beliefs": [{}]})", faults));
  EXPECT_EQ(faults.size(), 3);
}

}  // namespace
}  // namespace switchsaddle::configuration::test
