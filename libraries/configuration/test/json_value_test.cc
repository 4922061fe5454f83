#include "switchsaddle/configuration/json_value.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cmath>
#include <cstring>

#include "sample_document.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/check_report.h"
#include "switchsaddle/configuration/json_writer.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/configuration/state_report.h"

namespace switchsaddle::configuration::test {
namespace {

std::string canonicalOf(const std::string& text) {
  std::vector<Fault> faults;
  const std::optional<JsonValue> value = parseJson(text, {}, "", faults);
  return value ? value->canonical() : "fault";
}

TEST(JsonValueTest, RendersCanonicalText) {
  EXPECT_EQ(canonicalOf(R"( {"b": [1.0, 2.50, -0, 1e2], "a": null, "c": "\u00e9\n\u0001"} )"),
            "{\"a\":null,\"b\":[1,2.5,0,100],\"c\":\"\xc3\xa9\\n\\u0001\"}");
  EXPECT_EQ(canonicalOf("9223372036854775807"), "9223372036854775807");
  EXPECT_EQ(canonicalOf("\"\\ud83d\\ude00\""), "\"\xf0\x9f\x98\x80\"");
}

TEST(JsonValueTest, RejectsInvalidJson) {
  for (const char* text : {"", " ", "{", "1 2", "nul", "1e400", "\"\xff\"", "// x\n1", "{\"a\":1,}",
                           "\"\\ud800\"", "NaN", "01"}) {
    EXPECT_EQ(canonicalOf(text), "fault") << text;
  }
}

TEST(JsonValueTest, RejectsNestingBeyondTheMaximumDepth) {
  const std::string nested = std::string(16, '[') + std::string(16, ']');
  EXPECT_EQ(canonicalOf(nested), nested);
  EXPECT_EQ(canonicalOf("[" + nested + "]"), "fault");
}

TEST(JsonValueTest, RejectsMoreValuesThanTheMaximum) {
  std::vector<Fault> faults;
  const JsonLimits limits{.maximum_values = 5};
  EXPECT_TRUE(parseJson(R"({"a": [1, "2,3[4"], "b\",{": 5})", limits, "", faults));
  EXPECT_FALSE(parseJson(R"({"a": [1, 2, 3, 4]})", limits, "", faults));
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults.front().code, base::ResultCode::BodyTooLarge);
}

TEST(JsonValueTest, CountsNoFewerValuesThanADocumentHas) {
  EXPECT_FALSE(hasMoreValues(R"({"a": [{}, [], null], "b": "\\"})", 8));
  EXPECT_TRUE(hasMoreValues("[1,2,3]", 3));
  EXPECT_TRUE(hasMoreValues("[[[[", 4));
}

TEST(JsonValueTest, RandomDoublesRoundTripExactly) {
  base::RandomSource random(7);
  for (int round = 0; round < 20'000; ++round) {
    const std::uint64_t bits = random.next();
    double number = 0;
    std::memcpy(&number, &bits, sizeof(number));
    if (std::fpclassify(number) != FP_NORMAL) {
      continue;
    }
    const std::string text = JsonWriter().number(number).text();
    std::vector<Fault> faults;
    const std::optional<JsonValue> value = parseJson(text, {}, "", faults);
    ASSERT_TRUE(value) << text;
    ASSERT_EQ(value->number, number) << text;
    ASSERT_EQ(canonicalOf(value->canonical()), value->canonical());
  }
}

TEST(JsonWriterTest, InvalidUtf8IsReplaced) {
  EXPECT_EQ(jsonString("a\xff\xc3\xa9\xe2\x82"),
            "\"a\xef\xbf\xbd\xc3\xa9\xef\xbf\xbd\xef\xbf\xbd\"");
  base::RandomSource random(11);
  for (int round = 0; round < 2'000; ++round) {
    std::string bytes(random.below(12), ' ');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.below(256));
    }
    EXPECT_NE(canonicalOf(jsonString(bytes)), "fault");
  }
}

/** Replaces, erases, inserts or duplicates a few bytes. */
std::string mutate(std::string text, base::RandomSource& random) {
  constexpr std::string_view Tokens = "{}[]\",:0-9.eE\\\"$/tfn \x01\xff";
  for (std::uint64_t count = 1 + random.below(5); count > 0 && !text.empty(); --count) {
    const std::size_t offset = random.below(text.size());
    const char token = Tokens[random.below(Tokens.size())];
    switch (random.below(4)) {
      case 0:
        text[offset] = token;
        break;
      case 1:
        text.erase(offset, 1 + random.below(8));
        break;
      case 2:
        text.insert(offset, 1, token);
        break;
      default:
        text.insert(offset, text.substr(random.below(text.size()), random.below(40)));
        break;
    }
  }
  return text;
}

TEST(MutationTest, MutatedTextsDoNotCrashTheParsers) {
  const std::string change =
      R"({"change_id": "a", "base_version": 1, "set": )" + sampleText() + "}";
  std::size_t faulty = 0;
  for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
    base::RandomSource random(seed);
    std::vector<Fault> faults;
    const Document document = parseConfigurationFile(mutate(sampleText(), random), faults);
    const std::vector<Fault> more = checkDocument(document);
    faulty += faults.empty() && more.empty() ? 0 : 1;
    for (const Fault& fault : more) {
      EXPECT_FALSE(fault.message.empty());
    }
    parseChange(mutate(change, random), faults);
    parseSettings(mutate(R"({"zone": "a", "seeds": ["127.0.0.1:1"], "times": {}})", random),
                  faults);
    parseStateReport(mutate(R"({"node": "a", "now_ms": 1, "beliefs": [{"subject": "s"}]})", random),
                     faults);
    parseKeyRequest(mutate(R"({"change_id": "a", "tenant": "b"})", random), faults);
  }
  EXPECT_GT(faulty, 1'500);
}

}  // namespace
}  // namespace switchsaddle::configuration::test
