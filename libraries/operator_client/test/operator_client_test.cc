#include "switchsaddle/operator_client/operator_client.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <deque>
#include <sstream>

#include "switchsaddle/operator_client/tables.h"

namespace switchsaddle::operator_client::test {
namespace {

using testing::HasSubstr;

struct SentRequest {
  std::string address;
  std::string line;
  std::string body;
};

/** Sends scripted responses; times out if none is left or its status is zero. */
class ScriptedTransport : public ControlTransport {
 public:
  std::optional<http::Response> exchange(const base::NodeAddress& address,
                                         const http::Request& request) override {
    sent.push_back({address.toString(), request.method + " " + request.target, request.body});
    if (script.empty()) {
      return std::nullopt;
    }
    http::Response response = script.front();
    script.pop_front();
    return response.status == 0 ? std::nullopt : std::optional(response);
  }
  void pause() override { ++pauses; }
  void respondWith(std::uint16_t status, const std::string& body = "{}") {
    script.push_back({status, {}, body});
  }
  void timeOut() { respondWith(0); }

  std::deque<http::Response> script;
  std::vector<SentRequest> sent;
  int pauses = 0;
};

class OperatorClientTest : public testing::Test {
 protected:
  ScriptedTransport transport_;
  ControlEndpoint endpoint_{transport_, {{"127.0.0.1", 1}, {"127.0.0.2", 2}}, "operator"};
  std::ostringstream out_;
  std::ostringstream errors_;
  OperatorClient client_{endpoint_, false, out_, errors_};
};

constexpr const char* RetrySafe = R"({"error": {"code": 7001, "retry_safe": true}})";

TEST_F(OperatorClientTest, ARetrySendsTheIdenticalRequestToTheNextAddress) {
  transport_.timeOut();
  transport_.respondWith(503, RetrySafe);
  transport_.respondWith(202, R"({"version": 5})");
  transport_.respondWith(200, R"({"version": 5, "acknowledged": true})");
  const ChangeOptions options{"id-1", 4, false};
  EXPECT_EQ(client_.set("evacuations/a", "{}", options), ExitCode::Done);
  ASSERT_EQ(transport_.sent.size(), 4);
  EXPECT_EQ(transport_.sent[0].address, "127.0.0.1:1");
  EXPECT_EQ(transport_.sent[1].address, "127.0.0.2:2");
  for (const SentRequest& request : transport_.sent) {
    EXPECT_EQ(request.line, "POST /v1/configuration/changes");
    EXPECT_EQ(request.body, R"({"change_id":"id-1","base_version":4,"set":{"evacuations/a":{}}})");
  }
  EXPECT_EQ(transport_.pauses, 1);
}

TEST_F(OperatorClientTest, ReportsACommittedChangeDespiteLaterTimeouts) {
  transport_.respondWith(202, R"({"version": 5})");
  EXPECT_EQ(client_.evacuate("north", "id-1"), ExitCode::NotYetInForce);
  EXPECT_EQ(transport_.sent.size(), 2 * MaximumRounds);
  EXPECT_THAT(errors_.str(), HasSubstr("--change-id id-1"));
}

TEST_F(OperatorClientTest, ATimeoutIsUnknownAndReportsTheChangeId) {
  const ChangeOptions options{"id-1", 4, false};
  EXPECT_EQ(client_.remove("keys/a", options), ExitCode::Unknown);
  EXPECT_THAT(errors_.str(), HasSubstr("--change-id id-1 --base-version 4"));
}

TEST_F(OperatorClientTest, ARejectionIsNotRetriedAndItsFaultsAreReported) {
  transport_.respondWith(200, R"({"version": 7})");
  transport_.respondWith(422,
                         R"({"version": 7, "error": {"code": 6002, "name": "ConfigurationInvalid",
    "message": "m", "faults": [{"path": "a.b", "code": 1003, "message": "is missing"}]}})");
  EXPECT_EQ(client_.apply("{}", false, {}), ExitCode::Refused);
  EXPECT_EQ(transport_.sent.size(), 2);
  EXPECT_THAT(transport_.sent[1].body, HasSubstr(R"("base_version":7)"));
  EXPECT_THAT(errors_.str(), HasSubstr("a.b: 1003 is missing"));
  EXPECT_THAT(errors_.str(), HasSubstr("the version in force is 7"));
}

TEST_F(OperatorClientTest, ARepeatedChangeKeepsItsOriginalBaseVersion) {
  transport_.respondWith(200, R"({"changes": [{"version": 3, "change_id": "id-1"}]})");
  transport_.respondWith(200, R"({"version": 3})");
  EXPECT_EQ(client_.apply("{}", true, {"id-1", {}, false}), ExitCode::Done);
  EXPECT_EQ(transport_.sent[1].body, R"({"change_id":"id-1","base_version":2,"document":{}})");
}

TEST_F(OperatorClientTest, InvalidInputIsNotSent) {
  EXPECT_EQ(client_.apply(R"({"a": 1, "a": 2})", true, {}), ExitCode::Refused);
  EXPECT_EQ(client_.set("a", "{", {}), ExitCode::Refused);
  EXPECT_TRUE(transport_.sent.empty());
}

TEST_F(OperatorClientTest, ADryRunIsNotRetriedAfterStatus202) {
  transport_.respondWith(202);
  EXPECT_EQ(client_.set("a", "1", {"id-1", 4, true}), ExitCode::NotYetInForce);
  EXPECT_EQ(transport_.sent[0].line, "POST /v1/configuration/changes?dry_run=true");
  EXPECT_EQ(transport_.sent.size(), 1);
}

TEST_F(OperatorClientTest, GetWritesAFileThatApplyAccepts) {
  transport_.respondWith(
      200, R"({"version": 7, "digest": "d", "document": {"a/b": {"x": 1}, "c/d": 2}})");
  EXPECT_EQ(client_.get(), ExitCode::Done);
  transport_.respondWith(200);
  EXPECT_EQ(client_.apply(out_.str(), true, {"id-1", 7, false}), ExitCode::Done);
  EXPECT_THAT(transport_.sent[1].body, HasSubstr(R"("document":{"a/b":{"x":1},"c/d":2})"));
}

TEST_F(OperatorClientTest, ComparesTheStatesOfTwoNodes) {
  transport_.respondWith(200, R"({"node": "a", "now_ms": 1, "beliefs": []})");
  transport_.respondWith(200, R"({"node": "b", "now_ms": 1, "beliefs": [
    {"subject": "lease", "key": "k", "value": "v", "version": 1, "since_ms": 9}]})");
  EXPECT_EQ(client_.compare({"127.0.0.8", 8}, {"127.0.0.9", 9}), ExitCode::Refused);
  EXPECT_EQ(transport_.sent[0].address, "127.0.0.8:8");
  EXPECT_EQ(transport_.sent[1].address, "127.0.0.9:9");
  EXPECT_THAT(out_.str(), HasSubstr("held for 9 ms"));
  EXPECT_EQ(client_.compare({"127.0.0.8", 8}, {"127.0.0.9", 9}), ExitCode::Unknown);
}

TEST_F(OperatorClientTest, RequestsContainTheirChangeId) {
  for (int count = 0; count < 4; ++count) {
    transport_.respondWith(200);
  }
  client_.restore("north", "c1");
  client_.revokeKey("k1", "c2");
  client_.addKey({"jobs", "k2", "", "c3"});
  client_.replaceCore({"127.0.0.3", 3}, {"127.0.0.4", 4});
  EXPECT_EQ(transport_.sent[0].line, "DELETE /v1/zones/north/evacuation?change_id=c1");
  EXPECT_EQ(transport_.sent[1].line, "DELETE /v1/keys/k1?change_id=c2");
  EXPECT_EQ(transport_.sent[2].body, R"({"change_id":"c3","tenant":"jobs","id":"k2"})");
  EXPECT_EQ(transport_.sent[3].body, R"({"old":"127.0.0.3:3","new":"127.0.0.4:4"})");
}

TEST_F(OperatorClientTest, ParametersAreEscapedInTheTarget) {
  client_.restore("a/b", "c&d=\xc3");
  EXPECT_EQ(transport_.sent[0].line, "DELETE /v1/zones/a%2Fb/evacuation?change_id=c%26d%3D%C3");
  transport_.sent.clear();
  client_.showRouting("m:1");
  EXPECT_EQ(transport_.sent[0].line, "GET /v1/routing?model=m%3A1");
}

TEST(TablesTest, ListsOfObjectsBecomeTables) {
  std::vector<configuration::Fault> faults;
  const auto body = configuration::parseJson(
      R"({"version": 3, "fronts": [{"zone": "north", "up": true}, {"zone": "a", "n": [1, 2]}]})",
      {}, "", faults);
  EXPECT_EQ(renderBody(*body),
            "version: 3\n"
            "\nfronts\n"
            "zone   up    n\n"
            "north  true  -\n"
            "a      -     1 2\n");
}

TEST(TablesTest, NestedObjectsBecomeLinesAndTablesNamedByTheirPath) {
  std::vector<configuration::Fault> faults;
  const auto body = configuration::parseJson(
      R"({"node": {"role": "core", "fault": ""}, "core_set": {"epoch": 2, "members": [{"id": 1}],
          "previous": []}, "version": 3})",
      {}, "", faults);
  EXPECT_EQ(renderBody(*body),
            "node.role: core\n"
            "node.fault: -\n"
            "core_set.epoch: 2\n"
            "core_set.previous: -\n"
            "version: 3\n"
            "\ncore_set.members\n"
            "id\n"
            "1\n");
}

TEST(TablesTest, LongCellsAreTruncated) {
  std::vector<configuration::Fault> faults;
  const auto body =
      configuration::parseJson(R"([{"set": ")" + std::string(200, 'x') + R"("}])", {}, "", faults);
  EXPECT_EQ(renderBody(*body), "set\n" + std::string(69, 'x') + "...\n");
}

TEST(MakeChangeIdTest, GeneratesDifferentIds) {
  EXPECT_NE(makeChangeId(), makeChangeId());
}

}  // namespace
}  // namespace switchsaddle::operator_client::test
