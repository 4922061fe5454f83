#include "switchsaddle/testbed/checks/branch_limit_checker.h"

#include <gtest/gtest.h>

namespace switchsaddle::testbed {
namespace {

constexpr int OverBranchLimit = 3001;

/** Builds records of one tenant whose streams have two slots. */
class BranchLimitCheckerTest : public testing::Test {
 protected:
  BranchLimitCheckerTest() {
    limits_.branches[{"t1", "stream"}] = "root/t1";
    limits_.slots["root/t1"] = 2;
  }

  void run(const std::string& id, std::int64_t start_ms, std::int64_t end_ms) {
    note("start", id, start_ms);
    note("end", id, end_ms);
  }
  void note(const std::string& event, const std::string& request, std::int64_t at_ms) {
    WorkerEvent line;
    line.event = event;
    line.kind = "stream";
    line.tenant = "t1";
    line.run = event == "refused" || event == "queued" ? "" : request + "-run";
    line.request_id = request + "-attempt";
    line.caller_request_id = request;
    line.at_ms = at_ms;
    journal_.events.push_back(line);
  }
  void refused(std::int64_t sent_ms, std::int64_t answer_ms) {
    CallEvent event;
    event.event = "sent";
    event.call = evidence_.calls.size() + 1;
    event.kind = "stream";
    event.tenant = "t1";
    event.at_ms = sent_ms;
    evidence_.calls.push_back(event);
    event.event = "answer";
    event.end = call_end::Refused;
    event.code = OverBranchLimit;
    event.at_ms = answer_ms;
    evidence_.calls.push_back(event);
  }
  BranchLimitReport result() {
    evidence_.journals = {journal_};
    return checkBranchLimits(evidence_, limits_, BranchTolerances{}, BurstPeriod{});
  }
  std::vector<Rule> rules() {
    std::vector<Rule> rules;
    for (const Violation& violation : result().violations) {
      rules.push_back(violation.rule);
    }
    return rules;
  }

  using Rules = std::vector<Rule>;
  BranchLimits limits_;
  Evidence evidence_;
  WorkerJournal journal_;
};

TEST_F(BranchLimitCheckerTest, ReportsAnExcessLongerThanTheTolerance) {
  run("a", 0, 1'000);
  run("b", 0, 1'000);
  run("c", 900, 2'000);
  EXPECT_EQ(rules(), Rules{});
  EXPECT_EQ(result().branches.at("root/t1").peak, 3U);
  EXPECT_EQ(result().branches.at("root/t1").longest_excess_ms, 100);
  run("d", 950, 2'000);
  run("e", 1'500, 2'000);
  EXPECT_EQ(rules(), Rules{Rule::OverLimit});
}

TEST_F(BranchLimitCheckerTest, ReportsARefusalOnlyIfASlotWasFree) {
  run("a", 0, 1'000);
  run("b", 0, 500);
  refused(100, 200);
  refused(540, 600);
  EXPECT_EQ(rules(), Rules{});
  refused(560, 600);
  EXPECT_EQ(rules(), Rules{Rule::RefusedWithinLimit});
  EXPECT_EQ(result().refusals.at(OverBranchLimit).samples, 3U);
}

TEST_F(BranchLimitCheckerTest, AQueuedRunOccupiesItsSlot) {
  run("a", 0, 1'000);
  note("queued", "b", 100);
  run("b", 500, 1'000);
  refused(200, 210);
  EXPECT_EQ(rules(), Rules{});
}

TEST_F(BranchLimitCheckerTest, ReportsRetriesAboveTenPercentOfFirstAttempts) {
  for (std::int64_t number = 0; number < 10; ++number) {
    run("r" + std::to_string(number), number * 10, number * 10 + 1);
  }
  note("refused", "r3", 200);
  EXPECT_EQ(rules(), Rules{});
  note("refused", "r4", 300);
  EXPECT_EQ(rules(), Rules{Rule::TooManyRetries});
}

TEST_F(BranchLimitCheckerTest, ComparesRetriesWithTheFirstAttemptsOfTheirWindow) {
  for (std::int64_t number = 0; number < 10; ++number) {
    run("r" + std::to_string(number), number * 10, number * 10 + 1);
  }
  note("refused", "r3", 10'050);
  EXPECT_EQ(rules(), Rules{Rule::TooManyRetries});
}

}  // namespace
}  // namespace switchsaddle::testbed
