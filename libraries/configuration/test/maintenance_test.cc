#include "switchsaddle/configuration/maintenance.h"

#include <gtest/gtest.h>

#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration {
namespace {

using base::ResultCode;

/** A pool of ten workers in two zones. */
std::vector<FleetWorker> tenWorkers() {
  std::vector<FleetWorker> fleet;
  for (int index = 0; index < 10; ++index) {
    fleet.push_back(
        {"w" + std::to_string(index), "pool", index % 2 == 0 ? "north" : "south", true});
  }
  return fleet;
}

class MaintenanceTest : public testing::Test {
 protected:
  ChangeDecision start(const std::string& worker, const std::string& change_id) {
    return apply(decideMaintenance(value, {change_id, {worker}, true, fleet}));
  }
  ChangeDecision next(const std::vector<std::string>& candidates, const std::string& change_id) {
    return apply(decideMaintenance(value, {change_id, candidates, false, fleet}));
  }
  ChangeDecision finish(const std::string& worker, const std::string& change_id) {
    return apply(decideMaintenanceEnd(value, change_id, worker));
  }
  ChangeDecision apply(ChangeDecision decision) {
    if (decision.writes) {
      // Encodes and decodes the value, as after a restart of all cores.
      value = decodeRegisterValue(encodeRegisterValue(decision.next));
    }
    return decision;
  }
  void tune(const std::string& name, const std::string& json) {
    Change change;
    change.change_id = "tune-" + name;
    change.base_version = AnyBaseVersion;
    change.set.push_back({"tuning/" + name, json});
    apply(decideChange(value, change));
  }
  std::set<std::string> inMaintenance() const { return workersInMaintenance(value.document); }

  RegisterValue value;
  std::vector<FleetWorker> fleet = tenWorkers();
};

TEST_F(MaintenanceTest, TheFirstCandidateEntersMaintenance) {
  EXPECT_EQ(next({"w3", "w4"}, "a").code, ResultCode::Ok);
  EXPECT_EQ(inMaintenance(), std::set<std::string>{"w3"});
  EXPECT_EQ(workerPutIntoMaintenance(value, "a"), "w3");
}

TEST_F(MaintenanceTest, ReplacingTheConfigurationKeepsWorkersInMaintenance) {
  EXPECT_EQ(next({"w3"}, "a").code, ResultCode::Ok);
  Change replacement;
  replacement.change_id = "whole";
  replacement.base_version = value.document.version;
  replacement.replace_all = true;
  replacement.set.push_back({"tuning/route-candidates", "4"});
  EXPECT_EQ(apply(decideChange(value, replacement)).code, ResultCode::Ok);
  EXPECT_EQ(inMaintenance(), std::set<std::string>{"w3"});
  EXPECT_EQ(finish("w3", "b").code, ResultCode::Ok);
  EXPECT_TRUE(inMaintenance().empty());
}

TEST_F(MaintenanceTest, ARepeatedOrderGetsTheSameResult) {
  const ChangeDecision first = next({"w3"}, "a");
  const ChangeDecision repeated = next({"w7"}, "a");
  EXPECT_EQ(repeated.code, ResultCode::Ok);
  EXPECT_TRUE(repeated.repeated);
  EXPECT_EQ(repeated.version, first.version);
  EXPECT_EQ(inMaintenance().size(), 1U);
  // The result remains the same after the end of the maintenance.
  finish("w3", "b");
  EXPECT_EQ(next({"w7"}, "a").version, first.version);
  EXPECT_TRUE(inMaintenance().empty());
}

TEST_F(MaintenanceTest, OnlyOneOfTwoOrdersForAWorkerIsAccepted) {
  EXPECT_EQ(start("w3", "a").code, ResultCode::Ok);
  EXPECT_EQ(start("w3", "b").code, ResultCode::AlreadyInMaintenance);
}

TEST_F(MaintenanceTest, TwoOrdersForTheNextWorkerSelectDifferentWorkers) {
  tune("maintenance-pool-share", "0.3");
  next({"w3", "w4"}, "a");
  EXPECT_EQ(next({"w3", "w4"}, "b").code, ResultCode::Ok);
  EXPECT_EQ(workerPutIntoMaintenance(value, "b"), "w4");
}

TEST_F(MaintenanceTest, ThePoolShareInMaintenanceIsLimited) {
  start("w3", "a");
  const ChangeDecision rejected = start("w4", "b");
  EXPECT_EQ(rejected.code, ResultCode::CapacityTooLow);
  EXPECT_EQ(rejected.faults.front().path, "w4");
  EXPECT_FALSE(rejected.writes);
  finish("w3", "c");
  EXPECT_EQ(start("w4", "b").code, ResultCode::Ok);
}

TEST_F(MaintenanceTest, TheWorkersInMaintenanceOfAZoneAreLimited) {
  tune("maintenance-pool-share", "0.5");
  start("w2", "a");
  EXPECT_EQ(start("w4", "b").code, ResultCode::CapacityTooLow);
  EXPECT_EQ(start("w5", "c").code, ResultCode::Ok);
}

TEST_F(MaintenanceTest, AnOrderThatLeavesTooLittleCapacityIsRejected) {
  for (std::size_t index = 0; index < 4; ++index) {
    fleet[index].usable = false;
  }
  EXPECT_EQ(start("w8", "a").code, ResultCode::CapacityTooLow);
  // An unusable worker does not reduce the capacity.
  EXPECT_EQ(start("w0", "b").code, ResultCode::Ok);
}

TEST_F(MaintenanceTest, TheLastWorkerOfAPoolIsNotPutIntoMaintenance) {
  fleet = {{"only", "pool", "north", true}};
  EXPECT_EQ(start("only", "a").code, ResultCode::CapacityTooLow);
}

TEST_F(MaintenanceTest, AnOrderWithoutCandidatesIsRejected) {
  EXPECT_EQ(next({}, "a").code, ResultCode::NothingToMaintain);
}

TEST_F(MaintenanceTest, AnUnknownWorkerIsRejected) {
  EXPECT_EQ(start("w33", "a").code, ResultCode::UnknownWorker);
}

TEST_F(MaintenanceTest, AChangeIdOfAnotherChangeIsRejected) {
  tune("route-weight-alpha", "2");
  EXPECT_EQ(start("w3", "tune-route-weight-alpha").code, ResultCode::ChangeIdReused);
  start("w3", "a");
  EXPECT_EQ(start("w4", "a").code, ResultCode::ChangeIdReused);
  EXPECT_EQ(finish("w3", "a").code, ResultCode::ChangeIdReused);
}

TEST_F(MaintenanceTest, ARepeatedEndIsAcknowledged) {
  start("w3", "a");
  const ChangeDecision first = finish("w3", "b");
  EXPECT_TRUE(first.writes);
  EXPECT_EQ(finish("w3", "b").version, first.version);
  EXPECT_FALSE(finish("w3", "c").writes);
  EXPECT_EQ(finish("w3", "c").code, ResultCode::Ok);
}

TEST_F(MaintenanceTest, TheViewExcludesWorkersInMaintenance) {
  start("w3", "a");
  const View view = buildView(value.document);
  wire::WorkerEntry entry;
  entry.id = "w3";
  EXPECT_FALSE(view.allowsWorker(entry));
  entry.id = "w4";
  EXPECT_TRUE(view.allowsWorker(entry));
}

}  // namespace
}  // namespace switchsaddle::configuration
