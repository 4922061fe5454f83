// Random commits, kills, power losses and faults over many seeds.

#include <gtest/gtest.h>

#include "possible_records.h"
#include "store_harness.h"

namespace switchsaddle::storage {
namespace {

using base::ResultCode;
using simulation::DiskOperation;

constexpr std::uint64_t Seeds = 200;
constexpr int Rounds = 12;
constexpr int Pairs = 9;
constexpr std::uint64_t MaximumCommits = 40;

/** Random operations on one store under one seed, checked against its acknowledged commits. */
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : random_(seed), harness_(smallOptions(), seed) {}

  void run() {
    reopen();
    for (int round = 0; round < Rounds && !testing::Test::HasFailure(); ++round) {
      injectFault();
      commitSome();
      endIncarnation();
      reopen();
    }
  }
  std::uint64_t acknowledged() const { return acknowledged_; }

 private:
  void injectFault() {
    constexpr std::uint64_t Kinds = 6;
    const std::uint64_t nth = 1 + random_.below(60);
    switch (random_.below(5)) {
      case 0:
        harness_.disk.interruptAt(nth);
        break;
      case 1:
        harness_.disk.failOnce(static_cast<DiskOperation>(random_.below(Kinds)), nth);
        break;
      case 2:
        harness_.executor().stallNext(std::chrono::seconds(20));
        break;
      case 3:
        harness_.disk.failOnce(DiskOperation::Write, nth, ResultCode::StorageFull);
        break;
      default:
        break;
    }
  }
  void commitSome() {
    const std::uint64_t commits = random_.below(MaximumCommits);
    for (std::uint64_t index = 0; index < commits && !harness_.disk.interrupted(); ++index) {
      commitOne();
      while (random_.chance(0.6) && !harness_.disk.interrupted()) {
        harness_.world.step();
      }
    }
  }
  void commitOne() {
    const int pair = static_cast<int>(random_.below(Pairs));
    const std::string tag = random_.chance(0.2) ? "" : "tag" + std::to_string(next_tag_++);
    const std::uint64_t number = possible_.submitted(pair, tag);
    harness_.store().commit(
        PossibleRecords::makeCommit(pair, tag),
        [this, pair, number](ResultCode code) { onCommitted(pair, number, code); });
  }
  void onCommitted(int pair, std::uint64_t number, ResultCode code) {
    if (code == ResultCode::Ok) {
      possible_.acknowledged(pair, number);
      ++acknowledged_;
    }
  }
  void endIncarnation() {
    if (random_.chance(0.5)) {
      harness_.world.runFor(std::chrono::seconds(30));
    }
    const bool only_process_crashes = harness_.disk.interrupted() && random_.chance(0.5);
    if (!only_process_crashes && random_.chance(0.7)) {
      harness_.disk.powerLoss();
    } else {
      harness_.disk.resume();
    }
  }
  void reopen() {
    harness_.restart();
    // A fault of the last round may still be pending, so the store is opened once more without
    // faults.
    harness_.openCode();
    harness_.disk.clearFaults();
    harness_.restart();
    const OpenedStore opened = harness_.open();
    EXPECT_EQ(opened.loss, "");
    possible_.expect(opened.records);
    if (instance_ != 0) {
      EXPECT_EQ(opened.instance, instance_);
    }
    instance_ = opened.instance;
  }

  base::RandomSource random_;
  SimulatedStoreHarness harness_;
  PossibleRecords possible_;
  std::uint64_t next_tag_ = 0;
  std::uint64_t instance_ = 0;
  std::uint64_t acknowledged_ = 0;
};

TEST(FileRecordStoreProperty, AcknowledgedCommitsAreDurable) {
  std::uint64_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomRun run(seed);
    run.run();
    acknowledged += run.acknowledged();
    ASSERT_FALSE(testing::Test::HasFailure());
  }
  EXPECT_GT(acknowledged, Seeds * 20);
}

}  // namespace
}  // namespace switchsaddle::storage
