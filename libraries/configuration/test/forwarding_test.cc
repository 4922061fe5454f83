#include "switchsaddle/configuration/forwarding.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sample_document.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration::test {
namespace {

using testing::HasSubstr;

Document documentOf(const std::string& text) {
  std::vector<Fault> faults;
  const Document document = parseConfigurationFile(text, faults);
  EXPECT_TRUE(faults.empty());
  return document;
}

std::string validText() {
  return R"({
    "forwarding/pools/llm": {"health_path": "/h", "cold_ms": 3000, "cold_per_s": 10.5,
                             "tokens_per_event": 7, "models": ["m"]},
    "forwarding/pools/shop": {},
    "forwarding/routes/chat": {"host": "a.example", "path_prefix": "/chat/",
        "kind": "resumable-stream", "attempts": 2, "priority": 1, "time_limit_ms": 9000,
        "targets": [{"pool": "llm", "weight": 9}, {"pool": "shop", "weight": 1}]},
    "forwarding/routes/deep": {"host": "a.example", "path_prefix": "/chat/deep/",
        "kind": "at-most-once", "targets": [{"pool": "shop"}], "open": true},
    "forwarding/tenants/t": {"keys": [")" +
         sampleHash('c') + R"("], "unit": "tokens", "rate_per_s": 100.5, "burst": 50}
  })";
}

TEST(ForwardingTest, FindsTheLongestPrefixOfTheHost) {
  const View view = buildView(documentOf(validText()));
  const Forwarding& forwarding = view.forwarding;
  EXPECT_EQ(forwarding.find("a.example", "/chat/x")->name, "chat");
  EXPECT_EQ(forwarding.find("a.example", "/chat/deep/x")->name, "deep");
  EXPECT_EQ(forwarding.find("a.example", "/chat/deep")->name, "chat");
  EXPECT_EQ(forwarding.find("a.example", "/other/"), nullptr);
  EXPECT_EQ(forwarding.find("b.example", "/chat/"), nullptr);
  EXPECT_EQ(forwarding.find("a.example", ""), nullptr);
  EXPECT_TRUE(forwarding.hasHost("a.example"));
  EXPECT_FALSE(forwarding.hasHost("b.example"));
}

TEST(ForwardingTest, ReadsEveryField) {
  const View view = buildView(documentOf(validText()));
  const ForwardRoute& route = view.forwarding.routes.at("chat");
  EXPECT_EQ(route.kind, ForwardKind::ResumableStream);
  EXPECT_EQ(route.targets.size(), 2U);
  EXPECT_EQ(route.targets[0].weight, 9U);
  EXPECT_EQ(route.time_limit_ms, 9'000U);
  const ForwardPool& pool = *view.forwarding.findPool("llm");
  EXPECT_DOUBLE_EQ(pool.slow_start_per_s, 10.5);
  EXPECT_EQ(pool.tokens_per_event, 7U);
  const ForwardTenant& tenant = *view.forwarding.tenantOfKey(sampleHash('c'));
  EXPECT_EQ(tenant.unit, QuotaUnit::Tokens);
  EXPECT_DOUBLE_EQ(tenant.rate_per_s, 100.5);
  EXPECT_EQ(view.forwarding.tenantOfKey(sampleHash('d')), nullptr);
}

TEST(ForwardingTest, LimitOfAWindowIncludesOvershootAndSlack) {
  ForwardTenant tenant;
  const QuotaBounds bounds{8, 0.1, 1'000};
  EXPECT_FALSE(bounds.limitOf(tenant).has_value());
  tenant.rate_per_s = 100;
  tenant.burst = 200;
  EXPECT_DOUBLE_EQ(*bounds.limitOf(tenant), 1'000 * 1.1 + 1'000);
}

/** A faulty entry and a text that the message of its fault must contain. */
struct FaultyEntry {
  const char* path;
  const char* json;
  const char* message;
};

class ForwardingFaults : public testing::TestWithParam<FaultyEntry> {};

TEST_P(ForwardingFaults, AreReported) {
  Document document = documentOf(validText());
  document.entries[GetParam().path] = {GetParam().path, GetParam().json, 1, false};
  const std::vector<Fault> faults = checkDocument(document);
  ASSERT_FALSE(faults.empty());
  EXPECT_THAT(faults.front().message, HasSubstr(GetParam().message));
}

INSTANTIATE_TEST_SUITE_P(
    Entries, ForwardingFaults,
    testing::Values(
        FaultyEntry{"forwarding/routes/x",
                    R"({"host":"h","path_prefix":"/x/","kind":"repeatable",
                        "targets":[{"pool":"none"}]})",
                    "does not exist"},
        FaultyEntry{"forwarding/routes/x",
                    R"({"host":"a.example","path_prefix":"/chat/","kind":"repeatable",
                        "targets":[{"pool":"llm"}]})",
                    "host and path prefix"},
        FaultyEntry{"forwarding/routes/x",
                    R"({"host":"h","path_prefix":"/x/","kind":"repeatable",
                        "targets":[{"pool":"llm","weight":0}]})",
                    "sum to 0"},
        FaultyEntry{"forwarding/routes/x",
                    R"({"host":"h","path_prefix":"/x/","kind":"repeatable","time_limit_ms":0,
                        "targets":[{"pool":"llm"}]})",
                    "1"},
        FaultyEntry{"forwarding/routes/x",
                    R"({"host":"h","path_prefix":"x","kind":"repeatable",
                        "targets":[{"pool":"llm"}]})",
                    "slash"},
        FaultyEntry{"forwarding/routes/x",
                    R"({"host":"h","path_prefix":"/x/","kind":"often",
                        "targets":[{"pool":"llm"}]})",
                    "must be repeatable"},
        FaultyEntry{
            "forwarding/tenants/u",
            R"({"keys":["cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"]})",
            "shares a key"},
        FaultyEntry{"forwarding/pools/p", R"({"cold_per_s":-1})", "at least 0"}));

}  // namespace
}  // namespace switchsaddle::configuration::test
