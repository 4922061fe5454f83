#include "switchsaddle/registers/scrubber.h"

#include <gtest/gtest.h>

#include "keys.h"

namespace switchsaddle::registers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** @return the number of registers at a core that was partitioned while they were written. */
std::size_t registersOfLaggingCore(base::Duration page_interval) {
  TestOptions options;
  options.scrubber.page_interval = page_interval;
  options.proposer.operation_deadline = seconds(9);
  TestCluster cluster(3, 5, options);
  cluster.world.runFor(milliseconds(20));
  for (std::size_t index = 0; index < 4; ++index) {
    cluster.partition(index, 4);
  }
  EXPECT_TRUE(writeKeys(cluster));
  cluster.network.healAll();
  cluster.world.runFor(seconds(20));
  return cluster.core(4).acceptor->registerCount();
}

TEST(ScrubberTest, LaggingAcceptorReceivesTheRegistersItLacks) {
  EXPECT_EQ(registersOfLaggingCore(milliseconds(500)), KeyCount);
  EXPECT_EQ(registersOfLaggingCore(std::chrono::hours(1)), 0U);
}

TEST(ScrubberTest, DamagedRegistersAreRepairedFromAMajority) {
  TestOptions options;
  options.scrubber.file_interval = seconds(1);
  TestCluster cluster(4, 5, options);
  cluster.world.runFor(milliseconds(20));
  EXPECT_TRUE(writeKeys(cluster));
  const std::string record = "register/" + keyName(7);
  const std::string intact = cluster.core(2).disk.records[record];
  cluster.core(2).disk.records[record] = "flipped";
  cluster.core(2).disk.damaged = {record};
  for (const std::size_t index : {0, 1, 3, 4}) {
    cluster.partition(index, 2);
  }
  cluster.world.runFor(seconds(2));
  EXPECT_TRUE(cluster.core(2).acceptor->damagedKeys().contains(keyName(7)));
  EXPECT_EQ(cluster.core(2).disk.records[record], intact);
  cluster.network.healAll();
  cluster.world.runFor(seconds(5));
  EXPECT_TRUE(cluster.core(2).acceptor->damagedKeys().empty());
  EXPECT_EQ(*cluster.core(2).acceptor->acceptedValue(keyName(7)), "7");
}

}  // namespace
}  // namespace switchsaddle::registers
