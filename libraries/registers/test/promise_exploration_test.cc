#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "switchsaddle/exploration/deviating_network.h"
#include "switchsaddle/exploration/explorer.h"
#include "test_cluster.h"

namespace switchsaddle::registers {
namespace {

using exploration::DeviatingNetwork;
using exploration::DeviationKind;
using exploration::ExplorationOptions;
using exploration::ExplorationReport;
using exploration::RunReport;
using exploration::Schedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* Key = "key";

/**
 * Core 1 writes a value, and the run deviates meanwhile. Then both other members than core 0 are
 * replaced by cores that can't reach core 0, a later value is written without it, and read with it.
 * Invariant: the value read is the last one written.
 */
class UnreadMemberScenario : public exploration::Scenario {
 public:
  explicit UnreadMemberScenario(bool skip_promises) {
    options_.scrubber.page_interval = std::chrono::hours(1);
    options_.proposer.operation_deadline = seconds(20);
    options_.change.test_skip_promises = skip_promises;
  }

  std::string name() const override { return "unread-member"; }

  RunReport run(const Schedule& schedule, bool /*keep_trace*/) const override {
    TestCluster cluster(13, 3, options_);
    cluster.world.runFor(milliseconds(20));
    Crashes crashes(cluster);
    DeviatingNetwork network(cluster.world, cluster.network, crashes, schedule);
    network.open();
    raiseBallots(cluster);
    write(cluster, 1, "first", seconds(2));
    network.close();
    cluster.restart(1);
    cluster.world.runFor(seconds(1));
    RunReport report{"", network.messages(), network.fingerprint(), network.states(), {}};
    report.violation = replaceAndRead(cluster);
    return report;
  }

 private:
  /** Kills processes; the scenario starts core 1 again. */
  class Crashes : public exploration::Machines {
   public:
    explicit Crashes(TestCluster& cluster) : cluster_(cluster) {}
    void kill(const base::NodeAddress& machine) override {
      if (machine == cluster_.core(1).address) {
        cluster_.core(1).kill();
      }
    }
    void wipe(const base::NodeAddress& /*machine*/) override {}
    void freeze(const base::NodeAddress& /*machine*/) override {}
    bool contains(const base::NodeAddress& address) const override {
      return std::ranges::any_of(
          Numbers, [&](std::size_t index) { return cluster_.core(index).address == address; });
    }

   private:
    static constexpr std::array<std::size_t, 3> Numbers{0, 1, 2};
    TestCluster& cluster_;
  };

  /** Operations on other registers, after which the ballots of core 1 are above those that the
   * later members use. */
  static void raiseBallots(TestCluster& cluster) {
    for (int count = 0; count < 10; ++count) {
      change(cluster, 1, "other", std::to_string(count), seconds(2));
    }
  }
  static base::ResultCode change(TestCluster& cluster, std::size_t proposer, const std::string& key,
                                 const std::string& value, base::Duration limit) {
    auto code = std::make_shared<std::optional<base::ResultCode>>();
    if (!cluster.core(proposer).process.running()) {
      return base::ResultCode::NoQuorum;
    }
    cluster.core(proposer).proposer->change(
        key, [value](const std::string&) { return value; },
        [code](const RegisterOutcome& outcome) { *code = outcome.code; });
    cluster.world.runUntil([code] { return code->has_value(); }, limit);
    return code->value_or(base::ResultCode::NoQuorum);
  }
  static base::ResultCode write(TestCluster& cluster, std::size_t proposer,
                                const std::string& value, base::Duration limit) {
    return change(cluster, proposer, Key, value, limit);
  }
  static bool replace(TestCluster& cluster, std::size_t driver, std::size_t leaving,
                      std::size_t joining) {
    std::optional<base::ResultCode> code;
    cluster.core(driver).change->replace(cluster.member(leaving), cluster.member(joining),
                                         [&code](base::ResultCode result) { code = result; });
    cluster.world.runUntil([&code] { return code.has_value(); }, seconds(30));
    return code == base::ResultCode::Ok;
  }

  static std::string replaceAndRead(TestCluster& cluster) {
    const std::size_t third = cluster.addCore();
    const std::size_t fourth = cluster.addCore();
    cluster.world.runFor(seconds(1));
    cluster.partition(2, 0);
    cluster.partition(third, 0);
    const bool replaced = replace(cluster, 2, 1, third) && replace(cluster, third, 2, fourth);
    if (!replaced || write(cluster, third, "second", seconds(20)) != base::ResultCode::Ok) {
      return "the members were not replaced, or the second value was not written";
    }
    cluster.network.healAll();
    cluster.partition(fourth, third);
    std::optional<std::string> value;
    cluster.core(fourth).proposer->read(
        Key, [&value](const RegisterOutcome& outcome) { value = outcome.value; });
    cluster.world.runUntil([&value] { return value.has_value(); }, seconds(20));
    return value == "second" ? "" : "read " + value.value_or("nothing") + " instead of second";
  }

  TestOptions options_;
};

ExplorationReport exploreCrashes(bool skip_promises) {
  ExplorationOptions options;
  options.kinds = {DeviationKind::KillSender, DeviationKind::KillReceiver,
                   DeviationKind::LoseMessage};
  return explore(UnreadMemberScenario(skip_promises), options);
}

TEST(PromiseExplorationTest, NoCrashOfAProposerLetsItsValueDisplaceALaterOne) {
  const ExplorationReport report = exploreCrashes(false);
  ASSERT_TRUE(report.violations.empty())
      << scheduleText(report.violations[0].schedule) << ": " << report.violations[0].text;
}

TEST(PromiseExplorationTest, FindsADisplacedValueIfTransfersCopyNoPromises) {
  const ExplorationReport report = exploreCrashes(true);
  ASSERT_FALSE(report.violations.empty());
  EXPECT_EQ(report.violations[0].text, "read first instead of second");
}

}  // namespace
}  // namespace switchsaddle::registers
