#include "switchsaddle/configuration/register_value.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sample_document.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/base/random.h"

namespace switchsaddle::configuration::test {
namespace {

using base::ResultCode;

RegisterValue sampleValue() {
  RegisterValue value;
  value.document = sampleDocument();
  return value;
}

Change evacuate(const std::string& change_id, std::uint64_t base_version, const std::string& zone) {
  Change change;
  change.change_id = change_id;
  change.base_version = base_version;
  change.set.push_back({"evacuations/" + zone, "{}"});
  return change;
}

TEST(RegisterVersionTest, IsDecodedWithoutTheEntries) {
  const RegisterValue value = decideChange(sampleValue(), evacuate("a", 1, "south")).next;
  std::string bytes = encodeRegisterValue(value);
  EXPECT_EQ(decodeRegisterVersion(bytes), decodeRegisterValue(bytes).document.version);
  EXPECT_EQ(decodeRegisterVersion(""), 0U);
  bytes.back() = static_cast<char>(bytes.back() + 1);
  EXPECT_THROW(decodeRegisterVersion(bytes), base::Error);
  EXPECT_THROW(decodeRegisterVersion("short"), base::Error);
}

TEST(DecideChangeTest, CommitsTheNextVersion) {
  const ChangeDecision decision = decideChange(sampleValue(), evacuate("a", 1, "south"));
  EXPECT_EQ(decision.code, ResultCode::Ok);
  EXPECT_EQ(decision.version, 2);
  EXPECT_TRUE(decision.writes);
  EXPECT_FALSE(decision.repeated);
  EXPECT_EQ(decision.next.document.version, 2);
  ASSERT_EQ(decision.next.history.size(), 1);
  EXPECT_THAT(decision.next.history[0].set, testing::ElementsAre("evacuations/south"));
}

TEST(DecideChangeTest, OnlyOneOfTwoChangesWithTheSameBaseIsCommitted) {
  const RegisterValue value = decideChange(sampleValue(), evacuate("a", 1, "south")).next;
  const ChangeDecision conflict = decideChange(value, evacuate("b", 1, "west"));
  EXPECT_EQ(conflict.code, ResultCode::ConfigurationConflict);
  EXPECT_EQ(conflict.version, 2);
  EXPECT_TRUE(conflict.writes);
  EXPECT_EQ(conflict.next.document.digest(), value.document.digest());
}

TEST(DecideChangeTest, ARepeatedChangeGetsItsRecordedResultAfterManyChanges) {
  RegisterValue value = decideChange(sampleValue(), evacuate("won", 1, "south")).next;
  value = decideChange(value, evacuate("lost", 1, "west")).next;
  for (std::uint64_t step = 0; step < 500; ++step) {
    const std::string zone = "zone-" + std::to_string(step % 7);
    const ChangeDecision decision =
        decideChange(value, evacuate("step-" + std::to_string(step), 2 + step, zone));
    ASSERT_EQ(decision.code, ResultCode::Ok);
    value = decision.next;
  }
  value = decodeRegisterValue(encodeRegisterValue(value));
  const ChangeDecision committed = decideChange(value, evacuate("won", 1, "south"));
  EXPECT_EQ(committed.code, ResultCode::Ok);
  EXPECT_EQ(committed.version, 2);
  EXPECT_TRUE(committed.repeated);
  EXPECT_FALSE(committed.writes);
  const ChangeDecision conflict = decideChange(value, evacuate("lost", 1, "west"));
  EXPECT_EQ(conflict.code, ResultCode::ConfigurationConflict);
  EXPECT_EQ(conflict.version, 2);
  EXPECT_TRUE(conflict.repeated);
  EXPECT_FALSE(conflict.writes);
}

TEST(DecideChangeTest, AChangeIdCannotBeReusedForAnotherChange) {
  const RegisterValue value = decideChange(sampleValue(), evacuate("a", 1, "south")).next;
  const ChangeDecision decision = decideChange(value, evacuate("a", 2, "west"));
  EXPECT_EQ(decision.code, ResultCode::ChangeIdReused);
  EXPECT_FALSE(decision.writes);
}

TEST(DecideChangeTest, InvalidChangesAreNotRecorded) {
  Change change = evacuate("a", 1, "South");
  change.set.push_back({"tuning/none", "1"});
  change.remove.push_back("keys/none");
  const ChangeDecision decision = decideChange(sampleValue(), change);
  EXPECT_EQ(decision.code, ResultCode::ConfigurationInvalid);
  EXPECT_EQ(decision.faults.size(), 3);
  EXPECT_FALSE(decision.writes);
  EXPECT_THAT(decision.next.recorded, testing::IsEmpty());
  EXPECT_EQ(decideChange(decision.next, evacuate("b", 1, "south")).code, ResultCode::Ok);
}

TEST(DecideChangeTest, RejectsAnEmptyIdAndADuplicatePath) {
  EXPECT_EQ(decideChange(sampleValue(), evacuate("", 1, "south")).code,
            ResultCode::ConfigurationInvalid);
  Change twice = evacuate("a", 1, "north");
  twice.remove.push_back("evacuations/north");
  EXPECT_EQ(decideChange(sampleValue(), twice).code, ResultCode::ConfigurationInvalid);
}

TEST(DecideChangeTest, ChangesOfAnyBaseVersionNeverConflict) {
  RegisterValue value = decideChange(sampleValue(), evacuate("a", 1, "south")).next;
  const Change order = evacuate("order", AnyBaseVersion, "west");
  const ChangeDecision decision = decideChange(value, order);
  EXPECT_EQ(decision.version, 3);
  value = decideChange(decision.next, evacuate("b", 3, "east")).next;
  EXPECT_TRUE(decideChange(value, order).repeated);
  EXPECT_EQ(decideChange(value, order).version, 3);
}

TEST(DecideChangeTest, RecordedChangesAndHistoryAreBounded) {
  RegisterValue value = sampleValue();
  value.recorded.resize(MaximumRecordedChanges);
  value.history.resize(MaximumHistoryEntries);
  value.recorded.front().change_id = "oldest";
  const RegisterValue next = decideChange(value, evacuate("a", 1, "south")).next;
  EXPECT_EQ(next.recorded.size(), MaximumRecordedChanges);
  EXPECT_EQ(next.history.size(), MaximumHistoryEntries);
  EXPECT_EQ(next.findRecorded("oldest"), nullptr);
  EXPECT_NE(next.findRecorded("a"), nullptr);
}

TEST(RegisterValueTest, RoundTripsThroughEncoding) {
  RegisterValue value = decideChange(sampleValue(), evacuate("a", 1, "south")).next;
  Change removal;
  removal.change_id = "b";
  removal.base_version = 2;
  removal.remove.push_back("evacuations/south");
  value = decideChange(value, removal).next;
  const RegisterValue read = decodeRegisterValue(encodeRegisterValue(value));
  EXPECT_EQ(read.document.digest(), value.document.digest());
  EXPECT_EQ(encodeRegisterValue(read), encodeRegisterValue(value));
  EXPECT_EQ(decodeRegisterValue("").document.version, 0);
}

TEST(RegisterValueTest, CorruptionIsDetected) {
  const std::string bytes = encodeRegisterValue(sampleValue());
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    base::RandomSource random(seed);
    std::string corrupted = bytes;
    if (random.chance(0.3)) {
      corrupted.resize(1 + random.below(bytes.size() - 1));
    } else {
      const auto mask = static_cast<char>(1U << random.below(8));
      char& byte = corrupted[random.below(bytes.size())];
      byte = static_cast<char>(byte ^ mask);
    }
    EXPECT_THROW(decodeRegisterValue(corrupted), base::Error) << seed;
  }
}

}  // namespace
}  // namespace switchsaddle::configuration::test
