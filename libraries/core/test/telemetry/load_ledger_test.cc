#include "switchsaddle/core/telemetry/load_ledger.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::core {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t FirstWorker = 11;
constexpr std::uint32_t SecondWorker = 22;

class LoadLedgerTest : public testing::Test {
 protected:
  static wire::SessionRecord recordOf(std::uint16_t front, std::vector<wire::WorkerLoad> loads) {
    wire::SessionRecord record;
    record.front = {"127.0.0.1", front};
    record.instance = front;
    record.load.workers = std::move(loads);
    return record;
  }
  /** The load reported to a front, as "worker:requests/prefill_ms". */
  std::vector<std::string> reportedTo(const wire::SessionRecord& record) {
    std::vector<std::string> texts;
    for (const wire::WorkerLoad& load : ledger.loadFor(record).peer_loads) {
      texts.push_back(std::to_string(load.worker) + ":" + std::to_string(load.requests) + "/" +
                      std::to_string(load.prefill_ms));
    }
    return texts;
  }

  simulation::World world{1};
  simulation::Process process{world};
  LoadLedger ledger{process, milliseconds(1'500)};
  wire::SessionRecord first = recordOf(1, {{FirstWorker, 2, 100}, {SecondWorker, 1, 0}});
  wire::SessionRecord second = recordOf(2, {{FirstWorker, 3, 50}});
};

TEST_F(LoadLedgerTest, ReportsToEachFrontTheLoadOfItsPeers) {
  ledger.update(first);
  ledger.update(second);
  EXPECT_THAT(reportedTo(first), testing::ElementsAre("11:3/50"));
  EXPECT_THAT(reportedTo(second), testing::ElementsAre("11:2/100", "22:1/0"));
  EXPECT_THAT(reportedTo(recordOf(3, {})), testing::ElementsAre("11:5/150", "22:1/0"));
  EXPECT_EQ(ledger.requestsOn(FirstWorker), 5);
  EXPECT_EQ(ledger.requestsOn(33), 0);
}

TEST_F(LoadLedgerTest, ReportsTheMostLoadedWorkersAndTheMeanOfTheRest) {
  std::vector<wire::WorkerLoad> loads;
  for (std::uint16_t worker = 0; worker < 2'100; ++worker) {
    loads.push_back({worker, 1, worker});
  }
  ledger.update(recordOf(1, loads));
  const wire::FleetLoad load = ledger.loadFor(second);
  ASSERT_EQ(load.peer_loads.size(), LoadLedger::MaximumReportedWorkers);
  for (const wire::WorkerLoad& reported : load.peer_loads) {
    EXPECT_GE(reported.worker, 2'100 - LoadLedger::MaximumReportedWorkers);
  }
  EXPECT_FLOAT_EQ(load.unlisted_mean_requests, 1);
  EXPECT_FLOAT_EQ(load.unlisted_mean_prefill_ms,
                  (2'100 - LoadLedger::MaximumReportedWorkers - 1) / 2.0);
}

TEST_F(LoadLedgerTest, ARecordReplacesThePreviousOne) {
  ledger.update(first);
  ledger.update(first);
  ledger.update(recordOf(1, {{FirstWorker, 1, 10}}));
  EXPECT_THAT(reportedTo(second), testing::ElementsAre("11:1/10"));
  ledger.update(recordOf(1, {}));
  EXPECT_THAT(reportedTo(second), testing::IsEmpty());
}

TEST_F(LoadLedgerTest, AFrontThatEndedOrTimedOutDoesNotCount) {
  ledger.update(first);
  first.closed = true;
  ledger.update(first);
  EXPECT_THAT(reportedTo(second), testing::IsEmpty());
  ledger.update(second);
  world.runFor(milliseconds(1'400));
  EXPECT_THAT(reportedTo(first), testing::ElementsAre("11:3/50"));
  world.runFor(milliseconds(200));
  EXPECT_THAT(reportedTo(first), testing::IsEmpty());
}

TEST_F(LoadLedgerTest, UnresponsiveFrontsAreRemovedWithoutGrants) {
  ledger.update(first);
  world.runFor(milliseconds(1'600));
  ledger.update(second);
  EXPECT_EQ(ledger.requestsOn(FirstWorker), 3);
  EXPECT_EQ(ledger.requestsOn(SecondWorker), 0);
}

TEST_F(LoadLedgerTest, TwoProcessesOfOneAddressCountSeparately) {
  ledger.update(first);
  wire::SessionRecord restarted = recordOf(1, {{FirstWorker, 1, 5}});
  restarted.instance = 7;
  ledger.update(restarted);
  EXPECT_THAT(reportedTo(second), testing::ElementsAre("11:3/105", "22:1/0"));
}

TEST_F(LoadLedgerTest, SumsKindsOfWorkOverAllFronts) {
  first.load.kinds = {{7, 10, 1'000, 500}};
  second.load.kinds = {{7, 5, 500, 100}, {9, 1, 20, 20}};
  ledger.update(first);
  ledger.update(second);
  // The sums are refreshed five times a second.
  world.runFor(milliseconds(200));
  const std::vector<wire::WorkKindCounts> kinds = ledger.loadFor(first).kinds;
  ASSERT_EQ(kinds.size(), 2U);
  EXPECT_EQ(kinds[0].kind, 7U);
  EXPECT_FLOAT_EQ(kinds[0].prompts, 15);
  EXPECT_FLOAT_EQ(kinds[0].prompt_tokens, 1'500);
  EXPECT_FLOAT_EQ(kinds[0].prefilled_tokens, 600);
}

TEST_F(LoadLedgerTest, SumsSaturateAtTheRangeOfTheMessage) {
  for (std::uint16_t front = 10; front < 13; ++front) {
    ledger.update(recordOf(front, {{FirstWorker, 1, 60'000}}));
  }
  EXPECT_THAT(reportedTo(second), testing::ElementsAre("11:3/65535"));
}

}  // namespace
}  // namespace switchsaddle::core
