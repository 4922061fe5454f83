#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using configuration::StateDifference;
using configuration::StateDifferenceKind;
using configuration::StateReport;
using std::chrono::seconds;

constexpr const char* Evacuated = "evacuations/zone-north";

/** Reads the state reports of two nodes and compares them, as an operator does. */
class StateReportTest : public testing::Test {
 protected:
  StateReportTest() {
    fleet_.addModelWorker();
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
    EXPECT_TRUE(fleet_.commitChange(firstChange(), seconds(12)));
    fleet_.world.runFor(seconds(5));
  }

  StateReport stateOf(const base::NodeAddress& node) {
    std::optional<StateReport> report;
    fleet_.operators.front()->request(
        node, "GET", "/v1/beliefs", {}, [&](const std::optional<wire::ControlReply>& reply) {
          std::vector<configuration::Fault> faults;
          report = configuration::parseStateReport(reply ? reply->body : std::string(), faults);
        });
    fleet_.world.runUntil([&] { return report.has_value(); }, seconds(6));
    EXPECT_TRUE(report.has_value());
    return report.value_or(StateReport{});
  }

  std::vector<StateDifference> compare(const base::NodeAddress& first,
                                       const base::NodeAddress& second) {
    return configuration::compareStates(stateOf(first), stateOf(second));
  }

  static const StateDifference* find(const std::vector<StateDifference>& differences,
                                     const std::string& subject, const std::string& key) {
    const auto found = std::find_if(differences.begin(), differences.end(), [&](const auto& each) {
      return each.subject == subject && each.key == key;
    });
    return found == differences.end() ? nullptr : &*found;
  }

  static std::set<std::string> subjectsOf(const StateReport& report) {
    std::set<std::string> subjects;
    for (const configuration::StateEntry& entry : report.entries) {
      subjects.insert(entry.subject);
    }
    return subjects;
  }

  void evacuate() {
    EXPECT_TRUE(fleet_.commitChange(
        R"({"change_id":"north","base_version":1,"set":{"evacuations/zone-north":{}}})",
        seconds(12)));
  }

  void isolateNode(const base::NodeAddress& node) {
    for (const auto& core : fleet_.cores) {
      fleet_.network.cut(node, core->address());
    }
    for (const auto& front : fleet_.fronts) {
      fleet_.network.cut(node, front->address());
    }
  }

  const base::NodeAddress& core(std::size_t index) { return fleet_.cores[index]->address(); }
  const base::NodeAddress& front(std::size_t index) { return fleet_.fronts[index]->address(); }

  Fleet fleet_{1, FleetSize{}};
};

TEST_F(StateReportTest, AFrontReportsItsConfigurationWorkersSessionAndTerms) {
  const StateReport report = stateOf(front(0));
  EXPECT_EQ(subjectsOf(report),
            (std::set<std::string>{"configuration", "lease", "session", "workers"}));
}

TEST_F(StateReportTest, NodesInAgreementDoNotDifferInSharedState) {
  for (const base::NodeAddress& other : {front(1), core(0)}) {
    for (const StateDifference& difference : compare(front(0), other)) {
      EXPECT_NE(difference.subject, "configuration") << difference.key;
      const bool by_watcher = difference.key.starts_with("platform");
      EXPECT_TRUE(difference.subject != "workers" || by_watcher) << difference.key;
      const bool own_session = difference.key == front(0).toString();
      EXPECT_TRUE(!own_session || other != core(0)) << "core and front differ on the session";
    }
  }
  for (const StateDifference& difference : compare(core(0), core(1))) {
    EXPECT_NE(difference.subject, "session") << difference.key;
    EXPECT_NE(difference.subject, "configuration") << difference.key;
  }
}

TEST_F(StateReportTest, ComparisonShowsEachEntryThatAPartitionedFrontLacks) {
  isolateNode(front(0));
  fleet_.world.runFor(seconds(3));
  evacuate();
  fleet_.world.runFor(seconds(10));
  const std::vector<StateDifference> differences = compare(front(0), core(0));
  const StateDifference* entry = find(differences, "configuration", Evacuated);
  ASSERT_NE(entry, nullptr);
  EXPECT_EQ(entry->kind, StateDifferenceKind::OnlySecond);
  EXPECT_GE(entry->second->since_ms, 10'000);
  EXPECT_LT(entry->second->since_ms, 13'000);
  const StateDifference* version = find(differences, "configuration", "version");
  ASSERT_NE(version, nullptr);
  EXPECT_EQ(version->first->version, 1U);
  EXPECT_EQ(version->second->version, 2U);
  const StateDifference* state = find(differences, "session", "state");
  ASSERT_NE(state, nullptr);
  EXPECT_EQ(state->first->value, "lapsed");
  EXPECT_GE(state->first->since_ms, 10'000);
  // Both sides have recorded the expiry of the session.
  EXPECT_EQ(find(differences, "session", front(0).toString()), nullptr);
}

TEST_F(StateReportTest, AFrontAgreesAgainAfterAFreeze) {
  fleet_.fronts[0]->process().freeze();
  fleet_.world.runFor(seconds(2));
  evacuate();
  fleet_.world.runFor(seconds(18));
  EXPECT_EQ(find(compare(core(0), front(1)), "configuration", Evacuated), nullptr);
  fleet_.fronts[0]->process().wake();
  fleet_.world.runFor(seconds(3));
  const std::vector<StateDifference> differences = compare(front(0), front(1));
  EXPECT_EQ(find(differences, "configuration", Evacuated), nullptr);
  // It received the entry later than the other front; a comparison ignores this age.
  const StateReport woken = stateOf(front(0));
  const auto entry = std::find_if(woken.entries.begin(), woken.entries.end(),
                                  [](const auto& each) { return each.key == Evacuated; });
  ASSERT_NE(entry, woken.entries.end());
  EXPECT_LE(entry->since_ms, 3'500);
}

TEST_F(StateReportTest, ComparisonShowsEachEntryThatAPartitionedCoreLacks) {
  isolateNode(core(4));
  fleet_.world.runFor(seconds(3));
  evacuate();
  fleet_.world.runFor(seconds(5));
  const std::vector<StateDifference> differences = compare(core(4), core(0));
  const StateDifference* entry = find(differences, "configuration", Evacuated);
  ASSERT_NE(entry, nullptr);
  EXPECT_EQ(entry->kind, StateDifferenceKind::OnlySecond);
  const StateDifference* session = find(differences, "session", front(1).toString());
  ASSERT_NE(session, nullptr);
  EXPECT_EQ(session->kind, StateDifferenceKind::OnlySecond);
}

}  // namespace
}  // namespace switchsaddle::scenarios
