#include "switchsaddle/configuration/source_document.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::configuration::test {
namespace {

using base::ResultCode;

/** An update to a document whose text names one pool. */
SourceUpdate updateTo(std::uint64_t base, std::uint64_t revision, const std::string& pool,
                      std::string change_id = {}) {
  SourceUpdate update;
  update.change_id = change_id.empty() ? std::to_string(revision) + pool : std::move(change_id);
  update.base_revision = base;
  update.translate = [revision, pool](const std::string&) {
    SourceTranslation translation;
    translation.revision = revision;
    translation.text = "text of " + pool;
    translation.entries.push_back({"forwarding/pools/" + pool, "{\"health_path\": \"/h\"}"});
    translation.entries.push_back({"forwarding/pools/always", "{}"});
    return translation;
  };
  return update;
}

RegisterValue after(const RegisterValue& current, const SourceUpdate& update) {
  const ChangeDecision decision = decideSourceUpdate(current, update);
  EXPECT_EQ(decision.code, ResultCode::Ok);
  EXPECT_TRUE(decision.writes);
  return decision.next;
}

TEST(SourceDocumentTest, StoresTheTextAndDerivesTheEntries) {
  const RegisterValue first = after({}, updateTo(0, 5, "a"));
  EXPECT_EQ(first.source.revision, 5U);
  EXPECT_EQ(first.source.text, "text of a");
  EXPECT_FALSE(first.document.entries.at("forwarding/pools/a").removed);
  const RegisterValue second = after(first, updateTo(5, 9, "b"));
  EXPECT_TRUE(second.document.entries.at("forwarding/pools/a").removed);
  EXPECT_FALSE(second.document.entries.at("forwarding/pools/b").removed);
  // An unchanged entry keeps its version.
  EXPECT_EQ(second.document.entries.at("forwarding/pools/always").version, 1U);
}

TEST(SourceDocumentTest, OnlyOneOfTwoUpdatesWithTheSameBaseIsCommitted) {
  const RegisterValue first = after({}, updateTo(0, 5, "a"));
  const RegisterValue second = after(first, updateTo(5, 7, "b"));
  const ChangeDecision rejected = decideSourceUpdate(second, updateTo(5, 7, "c"));
  EXPECT_EQ(rejected.code, ResultCode::ConfigurationConflict);
  EXPECT_FALSE(rejected.writes);
}

TEST(SourceDocumentTest, ARepeatedUpdateIsAcknowledgedAfterLaterChanges) {
  const SourceUpdate early = updateTo(0, 5, "a");
  const RegisterValue first = after({}, early);
  const RegisterValue second = after(first, updateTo(5, 7, "b"));
  for (const RegisterValue& value : {first, second}) {
    const ChangeDecision repeated = decideSourceUpdate(value, early);
    EXPECT_EQ(repeated.code, ResultCode::Ok);
    EXPECT_TRUE(repeated.repeated);
    EXPECT_FALSE(repeated.writes);
  }
}

TEST(SourceDocumentTest, AnotherUpdateWithTheResultInForceIsNotAcknowledged) {
  const RegisterValue second = after(after({}, updateTo(0, 5, "a")), updateTo(5, 7, "b"));
  const ChangeDecision outdated = decideSourceUpdate(second, updateTo(5, 7, "b", "other"));
  EXPECT_EQ(outdated.code, ResultCode::ConfigurationConflict);
  EXPECT_FALSE(outdated.writes);
  const ChangeDecision unchanged = decideSourceUpdate(second, updateTo(7, 7, "b", "other"));
  EXPECT_EQ(unchanged.code, ResultCode::ConfigurationInvalid);
  EXPECT_FALSE(unchanged.writes);
}

TEST(SourceDocumentTest, RevisionsMustIncrease) {
  const RegisterValue first = after({}, updateTo(0, 5, "a"));
  EXPECT_EQ(decideSourceUpdate(first, updateTo(5, 5, "b")).code, ResultCode::ConfigurationInvalid);
  EXPECT_EQ(decideSourceUpdate(first, updateTo(5, 4, "b")).code, ResultCode::ConfigurationInvalid);
}

TEST(SourceDocumentTest, FaultyUpdatesAreRejectedAndNotRecorded) {
  SourceUpdate update = updateTo(0, 5, "a");
  update.translate = [](const std::string&) {
    SourceTranslation translation;
    translation.faults.push_back({"", ResultCode::MalformedJson, "cut"});
    return translation;
  };
  const ChangeDecision rejected = decideSourceUpdate({}, update);
  EXPECT_EQ(rejected.code, ResultCode::ConfigurationInvalid);
  EXPECT_FALSE(rejected.writes);
  update.translate = [](const std::string&) {
    SourceTranslation translation;
    translation.revision = 5;
    translation.entries = {{"forwarding/pools/a", "{}"}, {"forwarding/pools/a", "{}"}};
    return translation;
  };
  EXPECT_EQ(decideSourceUpdate({}, update).code, ResultCode::ConfigurationInvalid);
}

TEST(EvacuationOrderTest, IsIdempotentInTheRequestedState) {
  RegisterValue value;
  const ChangeDecision evacuation = decideEvacuation(value, "north", true);
  EXPECT_TRUE(evacuation.writes);
  value = evacuation.next;
  EXPECT_FALSE(decideEvacuation(value, "north", true).writes);
  EXPECT_EQ(decideEvacuation(value, "north", true).code, ResultCode::Ok);
  value = decideEvacuation(value, "north", false).next;
  EXPECT_TRUE(value.document.entries.at("evacuations/north").removed);
  EXPECT_EQ(decideEvacuation(value, "north", false).code, ResultCode::Ok);
  EXPECT_TRUE(decideEvacuation(value, "north", true).writes);
  EXPECT_EQ(decideEvacuation(value, "No Zone", true).code, ResultCode::ConfigurationInvalid);
}

TEST(RegisterFormatTest, DecodesTheFormatOfEarlierReleases) {
  const RegisterValue value = after({}, updateTo(0, 5, "a"));
  EXPECT_EQ(decodeRegisterValue(encodeRegisterValue(value)).source.text, "text of a");
  constexpr std::uint16_t FormatWithoutSource = 1;
  const std::string body = wire::writeRecord(
      FormatWithoutSource, std::uint64_t{3}, std::vector<wire::ConfigurationEntry>{},
      std::vector<std::string>{}, std::vector<std::string>{});
  std::string checksum;
  std::uint64_t hash = base::hashBytes(body);
  for (int index = 0; index < 8; ++index) {
    checksum.push_back(static_cast<char>(hash & 0xffU));
    hash >>= 8U;
  }
  const RegisterValue old = decodeRegisterValue(checksum + body);
  EXPECT_EQ(old.document.version, 3U);
  EXPECT_EQ(old.source.revision, 0U);
  EXPECT_EQ(decodeRegisterVersion(checksum + body), 3U);
}

}  // namespace
}  // namespace switchsaddle::configuration::test
