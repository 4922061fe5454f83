#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sample_document.h"
#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration::test {
namespace {

using base::ResultCode;

std::string faultName(const Fault& fault) {
  return fault.path + " " + std::string(base::describe(fault.code).name);
}

std::vector<std::string> faultNames(const std::vector<Fault>& faults) {
  std::vector<std::string> names;
  for (const Fault& fault : faults) {
    names.push_back(faultName(fault));
  }
  return names;
}

/** An entry to set in the sample, and the only fault that it must cause. */
struct FaultCase {
  std::string path;
  std::string json;
  std::string fault;
};

std::string hashText() {
  return sampleHash('c');
}

// NOLINTNEXTLINE(readability-function-size): a table with one row per case.
std::vector<FaultCase> faultCases() {
  const std::string shape = R"({"services": ["completions"], )";
  const std::string tenant = R"({"shape": "chat", "stream_branch": "root/jobs", )";
  return {
      {"nonsense", "1", "nonsense UnknownPath"},
      {"other/name", "1", "other/name UnknownPath"},
      {"keys/Upper", "{}", "keys/Upper UnknownPath"},
      {"keys/a/b", "{}", "keys/a/b UnknownPath"},
      {"tuning/" + std::string(65, 'a'), "1", "tuning/" + std::string(65, 'a') + " UnknownPath"},
      {"evacuations/south", "{", "evacuations/south MalformedJson"},
      {"evacuations/south", R"({"a": 1, "a": 1})", "evacuations/south.a InvalidValue"},
      {"evacuations/south", R"({"a": 1})", "evacuations/south.a UnknownField"},
      {"evacuations/south", "[]", "evacuations/south InvalidValue"},
      {"evacuations/south", "[[[[[[[[[[1]]]]]]]]]]", "evacuations/south MalformedJson"},
      // Shapes.
      {"shapes/s", R"({})", "shapes/s.services MissingField"},
      {"shapes/s", R"({"services": []})", "shapes/s.services InvalidValue"},
      {"shapes/s", R"({"services": "completions"})", "shapes/s.services InvalidValue"},
      {"shapes/s", R"({"services": ["completions", 1]})", "shapes/s.services[1] InvalidValue"},
      {"shapes/s", R"({"services": ["completions", "completions"]})",
       "shapes/s.services InvalidValue"},
      {"shapes/s", R"({"services": ["unserved"]})", "shapes/s.services[0] InvalidValue"},
      {"shapes/s", shape + R"("colour": 1})", "shapes/s.colour UnknownField"},
      {"shapes/s", shape + R"("first_token_ms": 0})", "shapes/s.first_token_ms InvalidValue"},
      {"shapes/s", shape + R"("first_token_ms": 1.5})", "shapes/s.first_token_ms InvalidValue"},
      {"shapes/s", shape + R"("stream_deadline_ms": 999})",
       "shapes/s.stream_deadline_ms InvalidValue"},
      {"shapes/s", shape + R"("one_shot_deadline_ms": 600001})",
       "shapes/s.one_shot_deadline_ms InvalidValue"},
      {"shapes/s", shape + R"("maximum_tokens": true})", "shapes/s.maximum_tokens InvalidValue"},
      {"shapes/s", shape + R"("maximum_tokens": "$none"})", "shapes/s.maximum_tokens InvalidValue"},
      {"shapes/s", shape + R"("parameters": []})", "shapes/s.parameters InvalidValue"},
      {"shapes/s", shape + R"("parameters": {"p": {"type": "integer", "default": 1}}})",
       "shapes/s.parameters.p InvalidValue"},
      {"shapes/s",
       shape + R"("parameters": {"p": {"type": "text", "default": 5, "minimum": 1, "maximum": 9}},
                  "maximum_tokens": "$p"})",
       "shapes/s.parameters.p.type InvalidValue"},
      {"shapes/s", shape + R"("parameters": {"p": {"type": "integer", "minimum": 1, "maximum": 9}},
                  "maximum_tokens": "$p"})",
       "shapes/s.parameters.p.default MissingField"},
      {"shapes/s",
       shape +
           R"("parameters": {"p": {"type": "integer", "default": 10, "minimum": 1, "maximum": 9}},
                  "maximum_tokens": "$p"})",
       "shapes/s.parameters.p.default InvalidValue"},
      {"shapes/s",
       shape +
           R"("parameters": {"p": {"type": "integer", "default": 5, "minimum": 9, "maximum": 1}},
                  "maximum_tokens": "$p"})",
       "shapes/s.parameters.p.minimum InvalidValue"},
      {"shapes/s",
       shape +
           R"("parameters": {"P": {"type": "integer", "default": 5, "minimum": 1, "maximum": 9}},
                  "maximum_tokens": "$P"})",
       "shapes/s.parameters.P InvalidValue"},
      {"shapes/s",
       shape +
           R"("parameters": {"p": {"type": "integer", "default": 5, "minimum": 0, "maximum": 9}},
                  "maximum_tokens": "$p"})",
       "shapes/s.maximum_tokens InvalidValue"},
      // Tenants.
      {"tenants/t", tenant + R"("one_shot_branch": "root/none"})",
       "tenants/t.one_shot_branch InvalidValue"},
      {"tenants/t", tenant + R"("one_shot_branch": "root/editors"})",
       "tenants/t.one_shot_branch InvalidValue"},
      {"tenants/t", tenant + R"("one_shot_branch": ""})", "tenants/t.one_shot_branch InvalidValue"},
      {"tenants/t", tenant + R"("one_shot_branch": 7})", "tenants/t.one_shot_branch InvalidValue"},
      {"tenants/t", tenant + R"("x": 1, "one_shot_branch": "root/jobs"})",
       "tenants/t.x UnknownField"},
      {"tenants/t", R"({"shape": "chat", "stream_branch": "root/jobs"})",
       "tenants/t.one_shot_branch MissingField"},
      {"tenants/t",
       R"({"shape": "none", "stream_branch": "root/jobs", "one_shot_branch": "root/jobs"})",
       "tenants/t.shape InvalidValue"},
      {"tenants/t", R"({"stream_branch": "root/jobs", "one_shot_branch": "root/jobs"})",
       "tenants/t.shape MissingField"},
      {"tenants/t", tenant + R"("one_shot_branch": "root/jobs", "parameters": {"other": 1}})",
       "tenants/t.parameters.other UnknownField"},
      {"tenants/t", tenant + R"("one_shot_branch": "root/jobs", "parameters": {"first": 99}})",
       "tenants/t.parameters.first InvalidValue"},
      {"tenants/t", tenant + R"("one_shot_branch": "root/jobs", "parameters": {"first": 9001}})",
       "tenants/t.parameters.first InvalidValue"},
      {"tenants/t", tenant + R"("one_shot_branch": "root/jobs", "parameters": {"first": "5"}})",
       "tenants/t.parameters.first InvalidValue"},
      {"tenants/t", tenant + R"("one_shot_branch": "root/jobs", "parameters": 5})",
       "tenants/t.parameters InvalidValue"},
      // The share tree.
      {"share/root", R"({"slots": 0})", "share/root.slots InvalidValue"},
      {"share/root", R"({"slots": 5, "parts": 1})", "share/root.parts UnknownField"},
      {"share/root", R"({})", "share/root.slots MissingField"},
      {"share/other", R"({"slots": 5})", "share/other InvalidValue"},
      {"share/root/none/leaf", R"({"parts": 1})", "share/root/none/leaf InvalidValue"},
      {"share/root/jobs", R"({"parts": -1})", "share/root/jobs.parts InvalidValue"},
      {"share/root/jobs", R"({"slots": 4, "parts": 1})", "share/root/jobs.slots UnknownField"},
      {"share/root//x", R"({"parts": 1})", "share/root//x UnknownPath"},
      {"share/root/x/", R"({"parts": 1})", "share/root/x/ UnknownPath"},
      {"share/", R"({"slots": 1})", "share/ UnknownPath"},
      // Routes.
      {"routes/r", R"({"service": "completions", "models": ["llama-70b"], "pool": "models"})",
       "routes/r.models InvalidValue"},
      {"routes/r", R"({"service": "confirmations", "pool": "models"})",
       "routes/r.service InvalidValue"},
      {"routes/r", R"({"service": "completions", "pool": "models"})",
       "routes/r.models MissingField"},
      {"routes/r", R"({"service": "completions", "models": ["m m"], "pool": "models"})",
       "routes/r.models[0] InvalidValue"},
      {"routes/r", R"({"service": "completions", "models": ["m", "m"], "pool": "models"})",
       "routes/r.models[1] InvalidValue"},
      {"routes/r", R"({"service": "x", "models": {}, "pool": "models"})",
       "routes/r.models InvalidValue"},
      {"routes/r", R"({"service": "x"})", "routes/r.pool MissingField"},
      {"routes/r", R"({"pool": "x"})", "routes/r.service MissingField"},
      {"routes/r", R"({"service": "X", "pool": "x"})", "routes/r.service InvalidValue"},
      // Keys and operators.
      {"keys/k", R"({"sha256": ")" + hashText() + R"(", "tenant": "none"})",
       "keys/k.tenant InvalidValue"},
      {"keys/k", R"({"sha256": ")" + hashText() + R"("})", "keys/k.tenant MissingField"},
      {"keys/k", R"({"sha256": "12", "tenant": "jobs"})", "keys/k.sha256 InvalidValue"},
      {"keys/k", R"({"tenant": "jobs"})", "keys/k.sha256 MissingField"},
      {"keys/k", R"({"sha256": ")" + sampleHash('a') + R"(", "tenant": "jobs"})",
       "keys/k.sha256 InvalidValue"},
      {"keys/k", R"({"secret": "s", "sha256": ")" + hashText() + R"(", "tenant": "jobs"})",
       "keys/k.secret UnknownField"},
      {"operators/o", R"({"sha256": ")" + sampleHash('G') + R"("})",
       "operators/o.sha256 InvalidValue"},
      {"operators/o", R"({})", "operators/o.sha256 MissingField"},
      // Tuning.
      {"tuning/none", "1", "tuning/none UnknownPath"},
      {"tuning/route-explore-share", "1.01", "tuning/route-explore-share InvalidValue"},
      {"tuning/route-weight-alpha", "-0.1", "tuning/route-weight-alpha InvalidValue"},
      {"tuning/route-stats-half-life", "0", "tuning/route-stats-half-life InvalidValue"},
      {"tuning/route-min-sample-tokens", "8.5", "tuning/route-min-sample-tokens InvalidValue"},
      {"tuning/route-candidates", "0", "tuning/route-candidates InvalidValue"},
      {"tuning/route-prune-after", "\"1\"", "tuning/route-prune-after InvalidValue"},
      {"tuning/retry-share", "0.6", "tuning/retry-share InvalidValue"},
  };
}

class FaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(FaultTest, IsTheOnlyFaultReported) {
  const FaultCase& fault_case = GetParam();
  const std::vector<Fault> faults = checkDocument(sampleWith(fault_case.path, fault_case.json));
  EXPECT_THAT(faultNames(faults), testing::ElementsAre(fault_case.fault)) << fault_case.json;
}

INSTANTIATE_TEST_SUITE_P(EveryKind, FaultTest, testing::ValuesIn(faultCases()));

TEST(ChecksTest, SampleIsValid) {
  EXPECT_THAT(faultNames(checkDocument(sampleDocument())), testing::IsEmpty());
}

TEST(ChecksTest, EveryFaultIsReported) {
  Document document = sampleDocument();
  document.entries["tuning/retry-share"] = {"tuning/retry-share", "9", 1, false};
  document.entries["keys/k"] = {"keys/k", R"({"x": 1})", 1, false};
  document.entries["nonsense"] = {"nonsense", "1", 1, false};
  EXPECT_THAT(faultNames(checkDocument(document)),
              testing::UnorderedElementsAre("tuning/retry-share InvalidValue",
                                            "keys/k.x UnknownField", "keys/k.sha256 MissingField",
                                            "keys/k.tenant MissingField", "nonsense UnknownPath"));
}

TEST(ChecksTest, ReferencesToRemovedEntriesAreFaults) {
  EXPECT_THAT(faultNames(checkDocument(sampleWithout("tenants/editors"))),
              testing::ElementsAre("keys/editors.tenant InvalidValue"));
  EXPECT_THAT(faultNames(checkDocument(sampleWithout("shapes/chat"))),
              testing::ElementsAre("tenants/editors.shape InvalidValue",
                                   "tenants/jobs.shape InvalidValue"));
  EXPECT_THAT(faultNames(checkDocument(sampleWithout("routes/confirmations"))),
              testing::ElementsAre("shapes/chat.services[1] InvalidValue"));
  EXPECT_THAT(faultNames(checkDocument(sampleWithout("share/root/editors"))),
              testing::ElementsAre("share/root/editors/drafts InvalidValue",
                                   "share/root/editors/orders InvalidValue"));
}

TEST(ChecksTest, TombstonesAreNotChecked) {
  Document document = sampleDocument();
  document.entries["nonsense"] = {"nonsense", "", 1, true};
  EXPECT_THAT(faultNames(checkDocument(document)), testing::IsEmpty());
}

TEST(ChecksTest, WeightsThatSumToZeroAreAFault) {
  Document document = sampleWith("share/root/jobs", R"({"parts": 0})");
  EXPECT_THAT(faultNames(checkDocument(document)), testing::IsEmpty());
  document.entries["share/root/editors"].json = R"({"parts": 0})";
  EXPECT_THAT(faultNames(checkDocument(document)), testing::ElementsAre("share/root InvalidValue"));
}

TEST(ChecksTest, RejectsAShareTreeBeyondTheMaximumDepth) {
  Document document = sampleDocument();
  std::string path = "share/root";
  for (int depth = 2; depth <= 8; ++depth) {
    path += "/d";
    document.entries[path] = {path, R"({"parts": 1})", 1, false};
  }
  EXPECT_THAT(faultNames(checkDocument(document)), testing::IsEmpty());
  path += "/d";
  document.entries[path] = {path, R"({"parts": 1})", 1, false};
  EXPECT_THAT(faultNames(checkDocument(document)), testing::ElementsAre(path + " InvalidValue"));
}

}  // namespace
}  // namespace switchsaddle::configuration::test
