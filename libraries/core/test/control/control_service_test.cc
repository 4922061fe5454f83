#include "switchsaddle/core/control/control_service.h"

#include <gtest/gtest.h>

#include <optional>

#include "change_fixture.h"
#include "fakes.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/worker_health/decayed_counts.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::core {
namespace {

using base::ResultCode;
using std::chrono::seconds;

constexpr const char* OperatorKey = "operator-secret";

class ControlServiceTest : public ChangeFixture {
 protected:
  ControlServiceTest() : ChangeFixture(5) {
    expect("POST", "/v1/configuration/changes",
           R"({"change_id":"setup","base_version":0,"set":{
               "shapes/plain":{"services":["completions"]},
               "routes/chat":{"service":"completions","models":["m"],"pool":"p"}}})");
  }

  http::Response send(const std::string& method, const std::string& target,
                      const std::string& body = {}, const std::string& key = OperatorKey) {
    http::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!key.empty()) {
      request.headers.push_back({"Authorization", "Bearer " + key});
    }
    std::optional<http::Response> response;
    service_.handle(request, [&](http::Response answer) {
      EXPECT_FALSE(response.has_value()) << "answered twice";
      response = std::move(answer);
    });
    EXPECT_TRUE(world_.runUntil([&] { return response.has_value(); }, seconds(5)));
    return *response;
  }

  /** Sends a request, checks the status and parses the body. */
  configuration::JsonValue expect(const std::string& method, const std::string& target,
                                  const std::string& body = {}, ResultCode code = ResultCode::Ok) {
    const http::Response response = send(method, target, body);
    EXPECT_EQ(response.status, base::describe(code).http_status)
        << method << ' ' << target << ": " << response.body;
    std::vector<configuration::Fault> faults;
    const auto parsed = configuration::parseJson(response.body, {}, "", faults);
    EXPECT_TRUE(parsed.has_value()) << response.body;
    return parsed.value_or(configuration::JsonValue{});
  }

  std::int64_t errorCode(const configuration::JsonValue& body) {
    const configuration::JsonValue* error = body.find("error");
    return error == nullptr ? 0 : error->integerOf("code");
  }

  FakeNode node_{process_, journal_};
  metrics::StrandWatch watch_{process_, incidents_};
  std::vector<base::NodeAddress> replaced_;
  ControlService service_{{process_,
                           proposer_,
                           coordinator_,
                           directory_,
                           replica_,
                           node_,
                           [this](const auto& old_member, const auto& new_member, auto callback) {
                             replaced_ = {old_member, new_member};
                             callback(ResultCode::Ok);
                           },
                           {configuration::sha256Hex(OperatorKey)},
                           false,
                           &watch_}};
};

TEST_F(ControlServiceTest, AcceptsOnlyKeysOfOperators) {
  EXPECT_EQ(send("GET", "/v1/configuration", {}, "").status,
            base::describe(ResultCode::MissingKey).http_status);
  EXPECT_EQ(send("GET", "/v1/configuration", {}, "wrong").status,
            base::describe(ResultCode::UnknownKey).http_status);
  const std::string hash = configuration::sha256Hex("second");
  const std::string body =
      R"({"change_id":"op","base_version":1,"set":{"operators/second":{"sha256":")" + hash +
      R"("}}})";
  expect("POST", "/v1/configuration/changes", body);
  EXPECT_EQ(send("GET", "/v1/configuration", {}, "second").status, 200);
  expect("POST", "/v1/configuration/changes",
         R"({"change_id":"op2","base_version":2,"remove":["operators/second"]})");
  EXPECT_EQ(send("GET", "/v1/configuration", {}, "second").status,
            base::describe(ResultCode::UnknownKey).http_status);
}

TEST_F(ControlServiceTest, RejectsUnknownPathsAndMethods) {
  EXPECT_EQ(errorCode(expect("GET", "/v1/nothing", {}, ResultCode::UnknownPath)),
            static_cast<int>(ResultCode::UnknownPath));
  EXPECT_EQ(errorCode(expect("DELETE", "/v1/configuration", {}, ResultCode::MethodNotAllowed)),
            static_cast<int>(ResultCode::MethodNotAllowed));
  EXPECT_TRUE(ControlService::serves("/v1/zones/a/evacuation?x=1"));
  EXPECT_FALSE(ControlService::serves("/v1/zones//evacuation"));
}

TEST_F(ControlServiceTest, ReadsBackConfigurationAndHistory) {
  const configuration::JsonValue present = expect("GET", "/v1/configuration");
  EXPECT_EQ(present.integerOf("version"), 1);
  ASSERT_NE(present.find("document"), nullptr);
  EXPECT_NE(present.find("document")->find("routes/chat"), nullptr);
  const http::Response history = send("GET", "/v1/configuration/history");
  EXPECT_NE(history.body.find("\"setup\""), std::string::npos);
}

TEST_F(ControlServiceTest, DryRunChecksWithoutCommitting) {
  const std::string body = R"({"change_id":"d","base_version":1,"set":{"evacuations/z1":{}}})";
  expect("POST", "/v1/configuration/changes?dry_run", body);
  EXPECT_EQ(replica_.version(), 1U);
  expect("POST", "/v1/configuration/changes?dry_run=false", body);
  EXPECT_EQ(replica_.version(), 2U);
}

TEST_F(ControlServiceTest, AConflictReportsTheVersionInForce) {
  const configuration::JsonValue body =
      expect("POST", "/v1/configuration/changes",
             R"({"change_id":"late","base_version":0,"set":{"evacuations/z1":{}}})",
             ResultCode::ConfigurationConflict);
  EXPECT_EQ(errorCode(body), static_cast<int>(ResultCode::ConfigurationConflict));
  EXPECT_EQ(body.integerOf("version"), 1);
}

TEST_F(ControlServiceTest, RejectsAFaultyBodyWithAllItsFaults) {
  EXPECT_EQ(errorCode(expect("POST", "/v1/configuration/changes", "{", ResultCode::MalformedJson)),
            static_cast<int>(ResultCode::MalformedJson));
  const http::Response response =
      send("POST", "/v1/configuration/changes",
           R"({"change_id":"f","base_version":1,"set":{"routes/a":5,"shapes/b":6}})");
  EXPECT_EQ(response.status, base::describe(ResultCode::ConfigurationInvalid).http_status);
  EXPECT_NE(response.body.find("routes/a"), std::string::npos);
  EXPECT_NE(response.body.find("shapes/b"), std::string::npos);
}

TEST_F(ControlServiceTest, EvacuatesAndRestoresAZoneWithoutABaseVersion) {
  expect("POST", "/v1/zones/z1/evacuation", R"({"change_id":"e1"})");
  EXPECT_TRUE(replica_.view()->evacuated_zones.contains("z1"));
  const std::uint64_t version = replica_.version();
  EXPECT_EQ(expect("POST", "/v1/zones/z1/evacuation", R"({"change_id":"e1"})").integerOf("version"),
            static_cast<std::int64_t>(version));
  EXPECT_EQ(replica_.version(), version);
  expect("DELETE", "/v1/zones/z1/evacuation?change_id=e2");
  EXPECT_FALSE(replica_.view()->evacuated_zones.contains("z1"));
  expect("DELETE", "/v1/zones/z1/evacuation?change_id=e2");
}

TEST_F(ControlServiceTest, RejectsAnEvacuationWithoutChangeId) {
  expect("POST", "/v1/zones/z1/evacuation", "{}", ResultCode::ConfigurationInvalid);
  EXPECT_EQ(replica_.version(), 1U);
}

TEST_F(ControlServiceTest, RevokingAnUnknownKeyIsRejected) {
  expect("DELETE", "/v1/keys/none?change_id=k1", {}, ResultCode::ConfigurationInvalid);
}

TEST_F(ControlServiceTest, ReportsTheVersionInForceAtEachFront) {
  directory_.setSession({"127.0.0.1", 7100}, 1);
  const http::Response response = send("GET", "/v1/configuration/in-force");
  EXPECT_NE(response.body.find("127.0.0.1:7100"), std::string::npos);
  directory_.code = ResultCode::NoQuorum;
  expect("GET", "/v1/configuration/in-force", {}, ResultCode::NoQuorum);
}

TEST_F(ControlServiceTest, RejectsReadsWithoutAQuorum) {
  proposer_.has_quorum = false;
  expect("GET", "/v1/configuration", {}, ResultCode::NoQuorum);
  EXPECT_EQ(send("GET", "/v1/status").status, 200);
}

TEST_F(ControlServiceTest, ReportsStatusAndState) {
  const configuration::JsonValue status = expect("GET", "/v1/status");
  EXPECT_EQ(status.integerOf("version"), 1);
  ASSERT_NE(status.find("leases"), nullptr);
  EXPECT_EQ(status.find("leases")->elements.front().textOf("name"), "platform-watcher");
  const http::Response state = send("GET", "/v1/beliefs");
  EXPECT_NE(state.body.find("routes/chat"), std::string::npos);
}

TEST_F(ControlServiceTest, ReplacesACore) {
  expect("POST", "/v1/core/replacements", R"({"old":"127.0.0.1:1","new":"127.0.0.1:2"})");
  ASSERT_EQ(replaced_.size(), 2U);
  EXPECT_EQ(replaced_[1].port, 2);
  expect("POST", "/v1/core/replacements", R"({"old":"127.0.0.1:1"})",
         ResultCode::ConfigurationInvalid);
}

TEST_F(ControlServiceTest, OrdersThatLayUnreadInAFrozenCoreHaveNoEffect) {
  watch_.start();
  world_.runFor(seconds(2));
  process_.freeze();
  world_.runFor(seconds(4));
  process_.wake();
  const std::string order = R"({"change_id":"late"})";
  EXPECT_EQ(errorCode(expect("POST", "/v1/zones/z1/evacuation", order, ResultCode::OrderExpired)),
            static_cast<int>(ResultCode::OrderExpired));
  expect("POST", "/v1/core/replacements", R"({"old":"127.0.0.1:1","new":"127.0.0.1:2"})",
         ResultCode::OrderExpired);
  EXPECT_TRUE(replaced_.empty());
  EXPECT_EQ(replica_.version(), 1U);
  world_.runFor(seconds(2));
  expect("POST", "/v1/zones/z1/evacuation", order);
  EXPECT_EQ(replica_.version(), 2U);
}

/** Ten workers of one pool, of which the last stalls. */
class ControlHealthTest : public ControlServiceTest {
 protected:
  ControlHealthTest() {
    wire::HealthReport report;
    wire::PoolHealth pool;
    pool.pool = worker_health::poolKey("p");
    for (int index = 0; index < 10; ++index) {
      workers::Worker& worker = node_.snapshot->workers["w" + std::to_string(index)];
      worker.entry.id = "w" + std::to_string(index);
      worker.entry.service = "p";
      worker.entry.zone = index % 2 == 0 ? "north" : "south";
      wire::WorkerHealth health;
      health.worker = worker_health::workerKey(worker.entry);
      health.counts.dispatched = 100;
      health.counts.timed = 100;
      health.counts.stalled = index == 9 ? 60 : 0;
      report.workers.push_back(health);
      worker_health::addCounts(pool.counts, health.counts);
    }
    report.pools.push_back(pool);
    node_.ranking.setWorkers(node_.snapshot);
    node_.ledger.update({{"10.0.0.1", 1}, 1}, "north", report);
    node_.ranking.refresh();
  }
  static std::string order(const std::string& id) { return R"({"change_id":")" + id + R"("})"; }
};

TEST_F(ControlHealthTest, RanksTheMostUnhealthyWorkerFirst) {
  const configuration::JsonValue body = expect("GET", "/v1/health/workers");
  const configuration::JsonValue& first = body.find("workers")->elements.front();
  EXPECT_EQ(first.textOf("worker"), "w9");
  EXPECT_EQ(first.textOf("state"), "sick");
  EXPECT_EQ(first.textOf("sickness"), "stalls");
  EXPECT_EQ(first.integerOf("stalled_permille"), 600);
  EXPECT_EQ(body.find("history")->elements.front().textOf("sickest"), "w9");
}

TEST_F(ControlHealthTest, ReportsTheHealthOfOneWorker) {
  const configuration::JsonValue body = expect("GET", "/v1/health/workers/w9");
  EXPECT_EQ(body.integerOf("compared_streams"), 100);
  ASSERT_NE(body.find("explained"), nullptr);
  EXPECT_LT(body.find("explained")->integerOf("stalled_permille"), 200);
  EXPECT_EQ(errorCode(expect("GET", "/v1/health/workers/w99", {}, ResultCode::UnknownWorker)),
            static_cast<int>(ResultCode::UnknownWorker));
}

TEST_F(ControlHealthTest, NextMaintenanceIsIdempotent) {
  const configuration::JsonValue first = expect("POST", "/v1/maintenance/next", order("n1"));
  EXPECT_EQ(first.textOf("worker"), "w9");
  // Another worker may be unhealthy by now; a retried request still selects the first one.
  const configuration::JsonValue again = expect("POST", "/v1/maintenance/next", order("n1"));
  EXPECT_EQ(again.textOf("worker"), "w9");
  EXPECT_EQ(again.integerOf("version"), first.integerOf("version"));
  const configuration::JsonValue status = expect("GET", "/v1/maintenance");
  ASSERT_EQ(status.find("workers")->elements.size(), 1U);
  EXPECT_EQ(status.find("workers")->elements.front().textOf("state"), "draining");
}

TEST_F(ControlHealthTest, RejectsMaintenanceWithTheCodeOfTheReason) {
  expect("POST", "/v1/maintenance/workers/w3", order("a"));
  EXPECT_EQ(errorCode(expect("POST", "/v1/maintenance/workers/w3", order("b"),
                             ResultCode::AlreadyInMaintenance)),
            static_cast<int>(ResultCode::AlreadyInMaintenance));
  EXPECT_EQ(errorCode(expect("POST", "/v1/maintenance/workers/w4", order("c"),
                             ResultCode::CapacityTooLow)),
            static_cast<int>(ResultCode::CapacityTooLow));
  expect("POST", "/v1/maintenance/workers/nobody", order("d"), ResultCode::UnknownWorker);
}

TEST_F(ControlHealthTest, AWorkerReturnsFromMaintenance) {
  expect("POST", "/v1/maintenance/workers/w3", order("a"));
  expect("DELETE", "/v1/maintenance/workers/w3?change_id=b");
  expect("DELETE", "/v1/maintenance/workers/w3?change_id=b");
  EXPECT_TRUE(expect("GET", "/v1/maintenance").find("workers")->elements.empty());
}

TEST_F(ControlHealthTest, WithoutAQuorumNoWorkerIsTakenIntoMaintenance) {
  proposer_.has_quorum = false;
  EXPECT_EQ(errorCode(expect("POST", "/v1/maintenance/next", order("n1"), ResultCode::NoQuorum)),
            static_cast<int>(ResultCode::NoQuorum));
}

}  // namespace
}  // namespace switchsaddle::core
