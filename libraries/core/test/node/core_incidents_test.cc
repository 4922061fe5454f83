#include <gtest/gtest.h>

#include <algorithm>

#include "switchsaddle/core/control/core_http_service.h"
#include "switchsaddle/core/node/core_node.h"
#include "switchsaddle/simulation/collecting_incidents.h"
#include "switchsaddle/simulation/network.h"
#include "switchsaddle/simulation/simulated_disk.h"
#include "switchsaddle/simulation/simulated_storage_executor.h"
#include "switchsaddle/storage/file_record_store.h"

namespace switchsaddle::core {
namespace {

using std::chrono::seconds;

/** A platform that never replies. */
class UnresponsivePlatform : public workers::PlatformSource {
 public:
  void read(std::function<void(workers::PlatformReading)> /*callback*/) override {}
};

/** A core set of one node, which is a majority by itself. */
class CoreIncidentsTest : public testing::Test {
 protected:
  CoreIncidentsTest() {
    settings_.peer_address = {"127.0.0.1", 7000};
    settings_.zone = "north";
    settings_.seeds = {settings_.peer_address};
    settings_.initial_cores = settings_.seeds;
    createNode();
  }

  void createNode() {
    node_.reset();
    node_ = std::make_unique<CoreNode>(CoreEnvironment{process_,
                                                       calls_,
                                                       store_,
                                                       world_.random(),
                                                       journal_,
                                                       platform_,
                                                       settings_,
                                                       {},
                                                       &incidents_});
  }

  http::Response get(const std::string& path) {
    CoreHttpService service(*node_, nullptr);
    http::Response result;
    service.handle({"GET", path, {}, ""},
                   [&](http::Response response) { result = std::move(response); });
    return result;
  }

  simulation::World world_{1};
  simulation::Network network_{world_};
  simulation::Process process_{world_};
  std::unique_ptr<transport::Transport> transport_ = network_.attach({"127.0.0.1", 7000}, process_);
  transport::PeerCalls calls_{process_, *transport_};
  simulation::SimulatedDisk disk_{1};
  simulation::SimulatedStorageExecutor executor_{world_, process_};
  storage::FileRecordStore store_{process_, disk_, executor_, world_.random()};
  journal::Journal journal_{process_};
  UnresponsivePlatform platform_;
  configuration::Settings settings_;
  simulation::CollectingIncidents incidents_;
  std::unique_ptr<CoreNode> node_;
};

TEST_F(CoreIncidentsTest, ReportsLeasesGained) {
  node_->start();
  world_.runFor(seconds(10));
  const base::Incident* gained = incidents_.find("lease-gained");
  ASSERT_NE(gained, nullptr);
  EXPECT_EQ(gained->severity, base::Severity::Notice);
  EXPECT_EQ(incidents_.find("storage-not-opened"), nullptr);
  EXPECT_EQ(get("/readyz").status, 200);
}

TEST_F(CoreIncidentsTest, ReportsOnceThatItCannotTolerateTheLosses) {
  settings_.tolerated_core_losses = 1;
  createNode();
  node_->start();
  world_.runFor(seconds(10));
  EXPECT_EQ(incidents_.find("tolerance-not-met"), nullptr);
  world_.runFor(seconds(30));
  const base::Incident* reported = incidents_.find("tolerance-not-met");
  ASSERT_NE(reported, nullptr);
  EXPECT_EQ(reported->code, base::ResultCode::ToleranceNotMet);
  const auto is_shortfall = [](const base::Incident& incident) {
    return incident.event == "tolerance-not-met";
  };
  EXPECT_EQ(std::ranges::count_if(incidents_.all, is_shortfall), 1);
}

TEST_F(CoreIncidentsTest, ReportsAStoreThatCannotBeOpenedAndIsNotReady) {
  disk_.setFull(true);
  node_->start();
  world_.runFor(seconds(5));
  const base::Incident* not_opened = incidents_.find("storage-not-opened");
  ASSERT_NE(not_opened, nullptr);
  EXPECT_EQ(not_opened->severity, base::Severity::Error);
  EXPECT_TRUE(not_opened->dumps_ring);
  EXPECT_EQ(get("/readyz").status, 503);
  EXPECT_EQ(get("/healthz").status, 200);
  EXPECT_NE(get("/metrics").body.find("switchsaddle_storage_fault 1\n"), std::string::npos);
}

}  // namespace
}  // namespace switchsaddle::core
