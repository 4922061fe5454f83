#include "switchsaddle/testbed/workers/platform_list.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

using std::chrono::seconds;

class PlatformListTest : public testing::Test {
 protected:
  static std::vector<ListedWorker> oneWorker() {
    ListedWorker worker;
    worker.id = "w1";
    worker.address = base::NodeAddress{"127.0.0.1", 80};
    worker.models = {"small"};
    return {worker};
  }
  base::TimePoint at(int second) { return base::TimePoint{} + seconds(second); }
  /** The listed state of w1; empty if it is not listed. */
  std::string stateAt(int second) {
    const auto workers = objectListField(parseObject(list_.answer(at(second))), "workers");
    return workers.empty() ? "" : textField(workers[0], "state");
  }
  PlatformList list_{oneWorker(), seconds(2), seconds(8)};
};

TEST_F(PlatformListTest, ListsAWorkerAndItsDrainingAfterTheLag) {
  list_.reportState(0, "ready", at(0));
  EXPECT_EQ(stateAt(1), "");
  EXPECT_EQ(stateAt(2), "ready");
  list_.reportState(0, "draining", at(10));
  EXPECT_EQ(stateAt(11), "ready");
  EXPECT_EQ(stateAt(12), "draining");
}

TEST_F(PlatformListTest, KeepsACrashedWorkerListedForTheConfiguredTime) {
  list_.reportState(0, "ready", at(0));
  list_.reportNoAnswer(0, at(10));
  list_.reportNoAnswer(0, at(15));
  EXPECT_EQ(stateAt(19), "ready");
  EXPECT_EQ(stateAt(20), "");
}

TEST_F(PlatformListTest, AWorkerThatAnswersBeforeItsRemovalStaysListed) {
  list_.reportState(0, "ready", at(0));
  list_.reportNoAnswer(0, at(10));
  list_.reportState(0, "ready", at(13));
  EXPECT_EQ(stateAt(15), "ready");
  EXPECT_EQ(stateAt(30), "ready");
}

TEST_F(PlatformListTest, FaultsChangeTheAnswer) {
  list_.reportState(0, "ready", at(0));
  ASSERT_EQ(stateAt(2), "ready");
  list_.setFault(PlatformFault::Empty);
  EXPECT_EQ(stateAt(3), "");
  list_.setFault(PlatformFault::Malformed);
  EXPECT_THROW(stateAt(3), base::Error);
  list_.setFault(PlatformFault::Flap);
  EXPECT_NE(stateAt(3), stateAt(3));
  list_.setFault(PlatformFault::Stale);
  list_.reportState(0, "draining", at(3));
  EXPECT_EQ(stateAt(9), "ready");
  list_.setFault(PlatformFault::None);
  EXPECT_EQ(stateAt(9), "draining");
}

TEST_F(PlatformListTest, WorkersFileRoundTrips) {
  const auto read = parseWorkersFile(formatWorkersFile(oneWorker()));
  ASSERT_EQ(read.size(), 1U);
  EXPECT_EQ(read[0].address, oneWorker()[0].address);
  EXPECT_EQ(read[0].models, oneWorker()[0].models);
}

}  // namespace
}  // namespace switchsaddle::testbed
