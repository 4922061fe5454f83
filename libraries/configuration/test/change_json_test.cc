#include "switchsaddle/configuration/change_json.h"

#include <gtest/gtest.h>

#include "sample_document.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration::test {
namespace {

using base::ResultCode;

JsonValue parsed(const std::string& text) {
  std::vector<Fault> faults;
  std::optional<JsonValue> value = parseJson(text, {}, "", faults);
  EXPECT_TRUE(value) << text;
  return value.value_or(JsonValue{});
}

TEST(ChangeJsonTest, RendersTheConfiguration) {
  const JsonValue body = parsed(renderConfiguration(sampleDocument()));
  EXPECT_EQ(body.integerOf("version"), 1);
  EXPECT_EQ(body.textOf("digest"), digestText(sampleDocument().digest()));
  EXPECT_EQ(body.find("document")->names.size(), sampleDocument().entries.size());
  EXPECT_EQ(digestText(0xabc), "0000000000000abc");
}

TEST(ChangeJsonTest, RendersTheHistoryAndTheVersionInForce) {
  EXPECT_EQ(renderHistory({{3, "a\"b", {"x"}, {"y", "z"}}}),
            R"({"changes":[{"version":3,"change_id":"a\"b","set":["x"],"removed":["y","z"]}]})");
  const JsonValue body =
      parsed(renderInForce(3, 7, {{"a", 1, "z", 3, 7}, {"b", 2, "z", 3, 8}, {"c", 2, "z", 2, 7}}));
  const std::vector<JsonValue>& fronts = body.find("fronts")->elements;
  EXPECT_TRUE(fronts[0].find("in_force")->boolean);
  EXPECT_FALSE(fronts[1].find("in_force")->boolean);
  EXPECT_FALSE(fronts[2].find("in_force")->boolean);
}

TEST(ChangeJsonTest, RendersChangeResults) {
  EXPECT_EQ(renderChangeResult({ResultCode::CommittedNotYetInForce, 4, {}, true, false}),
            R"({"version":4,"acknowledged":false,"repeated":true,"dry_run":false,)"
            R"("code":6003,"name":"CommittedNotYetInForce"})");
  const JsonValue body = parsed(renderChangeResult(
      {ResultCode::ConfigurationInvalid, 4, {{"p", ResultCode::MissingField, "m"}}, false, false}));
  const JsonValue* error = body.find("error");
  EXPECT_EQ(error->integerOf("code"), 6002);
  EXPECT_EQ(error->find("faults")->canonical(), R"([{"code":1003,"message":"m","path":"p"}])");
}

TEST(ChangeJsonTest, ARepeatedKeyRequestIsTheSameChange) {
  const KeyRequest request{"change-1", "", "jobs", ""};
  const KeyIssue first = issueKey(request, "operator");
  const KeyIssue repeated = issueKey(request, "operator");
  EXPECT_EQ(first.secret, repeated.secret);
  EXPECT_EQ(first.change.fingerprint(), repeated.change.fingerprint());
  EXPECT_NE(first.secret, issueKey(request, "another").secret);
  EXPECT_NE(first.secret, issueKey({"change-2", first.id, "jobs", ""}, "operator").secret);
  const RegisterValue value{sampleDocument(), {}, {}};
  const ChangeDecision decision = decideChange(value, first.change);
  ASSERT_EQ(decision.code, ResultCode::Ok);
  const View view = buildView(decision.next.document);
  EXPECT_EQ(view.keys.at(sha256Hex(first.secret)).tenant, "jobs");
  const ChangeDecision revoked = decideChange(decision.next, revokeKeyChange("change-3", first.id));
  EXPECT_EQ(revoked.code, ResultCode::Ok);
  EXPECT_FALSE(buildView(revoked.next.document).keys.contains(sha256Hex(first.secret)));
}

TEST(ChangeJsonTest, AKeyRequestWithAHashReturnsNoSecret) {
  const KeyIssue issue = issueKey({"change-1", "mine", "jobs", sampleHash('d')}, "operator");
  EXPECT_EQ(issue.secret, "");
  EXPECT_EQ(parsed(renderKeyResult(issue, {ResultCode::Ok, 2, {}, false, false})).find("secret"),
            nullptr);
}

TEST(ChangeJsonTest, ReportsFaultsOfRequests) {
  std::vector<Fault> faults;
  parseEvacuationRequest("{}", faults);
  parseEvacuationRequest(R"({"change_id": ""})", faults);
  parseKeyRequest(R"({"change_id": "a", "tenant": "T", "sha256": "1", "id": "", "x": 1})", faults);
  EXPECT_EQ(faults.size(), 6);
}

TEST(ChangeJsonTest, EvacuatesAndRestoresAZone) {
  const RegisterValue value{sampleDocument(), {}, {}};
  const ChangeDecision evacuated = decideChange(value, evacuationChange("a", "south", false));
  ASSERT_EQ(evacuated.code, ResultCode::Ok);
  EXPECT_TRUE(buildView(evacuated.next.document).evacuated_zones.contains("south"));
  const ChangeDecision restored =
      decideChange(evacuated.next, evacuationChange("b", "south", true));
  EXPECT_FALSE(buildView(restored.next.document).evacuated_zones.contains("south"));
}

}  // namespace
}  // namespace switchsaddle::configuration::test
