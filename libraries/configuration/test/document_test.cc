#include "switchsaddle/configuration/document.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sample_document.h"
#include "switchsaddle/base/random.h"

namespace switchsaddle::configuration::test {
namespace {

Change randomChange(base::RandomSource& random) {
  Change change;
  change.replace_all = random.chance(0.05);
  for (std::uint64_t count = 1 + random.below(4); count > 0; --count) {
    const std::string path = "evacuations/zone-" + std::to_string(random.below(12));
    if (random.chance(0.4)) {
      change.remove.push_back(path);
    } else {
      change.set.push_back({path, std::to_string(random.below(3))});
    }
  }
  return change;
}

TEST(DocumentTest, ADeltaUpdatesAnyOlderDocumentToTheNewest) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    base::RandomSource random(seed);
    std::vector<Document> versions{Document{}};
    for (int step = 0; step < 30; ++step) {
      versions.push_back(applyChange(versions.back(), randomChange(random)));
    }
    const Document& newest = versions.back();
    for (Document& older : versions) {
      const std::uint64_t since = random.below(older.version + 1);
      const bool is_older = older.version < newest.version;
      EXPECT_EQ(older.apply(newest.deltaSince(since)), is_older) << seed;
      EXPECT_EQ(older.digest(), newest.digest()) << seed;
      EXPECT_EQ(older.toJson(), newest.toJson()) << seed;
    }
  }
}

TEST(DocumentTest, DigestCoversEveryFieldOfAnEntry) {
  const Document document = sampleDocument();
  const std::uint64_t digest = document.digest();
  EXPECT_EQ(digest, sampleDocument().digest());
  for (const auto& [path, entry] : document.entries) {
    Document changed = document;
    changed.entries[path].json += " ";
    EXPECT_NE(changed.digest(), digest);
    changed = document;
    changed.entries[path].version = 2;
    EXPECT_NE(changed.digest(), digest);
    changed = document;
    changed.entries[path].removed = true;
    EXPECT_NE(changed.digest(), digest);
    changed.entries.erase(path);
    EXPECT_NE(changed.digest(), digest);
  }
  Document later = document;
  later.version = 2;
  EXPECT_NE(later.digest(), digest);
}

TEST(DocumentTest, ADeltaThatDoesNotApplyChangesNothing) {
  Document newest = sampleDocument();
  for (int step = 0; step < 3; ++step) {
    Change change;
    change.set.push_back({"evacuations/z" + std::to_string(step), "{}"});
    newest = applyChange(newest, change);
  }
  Document document = sampleDocument();
  const std::uint64_t digest = document.digest();
  EXPECT_FALSE(document.apply(newest.deltaSince(2))) << "starts after this version";
  wire::ConfigurationDelta corrupted = newest.deltaSince(1);
  corrupted.entries.pop_back();
  EXPECT_FALSE(document.apply(corrupted));
  EXPECT_EQ(document.digest(), digest);
  EXPECT_FALSE(newest.apply(sampleDocument().deltaSince(0))) << "is older";
}

TEST(DocumentTest, RemovalLeavesATombstoneAndUnchangedEntriesKeepTheirVersion) {
  Change change;
  change.replace_all = true;
  change.set.push_back({"evacuations/north", " { } "});
  const Document next = applyChange(sampleDocument(), change);
  EXPECT_EQ(next.version, 2);
  EXPECT_EQ(next.toJson(), R"({"evacuations/north":{}})");
  EXPECT_EQ(next.entries.at("evacuations/north").version, 1);
  EXPECT_TRUE(next.entries.at("share/root").removed);
  EXPECT_EQ(next.entries.at("share/root").version, 2);
  EXPECT_EQ(next.entries.size(), sampleDocument().entries.size());
}

TEST(DocumentTest, FingerprintIgnoresOrderAndChangeId) {
  std::vector<Fault> faults;
  const Change first = parseChange(
      R"({"change_id": "a", "base_version": 4, "set": {"x/a": {"p": 1, "q": 2}, "x/b": 1.0}})",
      faults);
  Change second = parseChange(
      R"({"base_version": 4, "change_id": "b", "set": {"x/b": 1, "x/a": {"q": 2, "p": 1}}})",
      faults);
  EXPECT_THAT(faults, testing::IsEmpty());
  EXPECT_EQ(first.fingerprint(), second.fingerprint());
  second.base_version = 5;
  EXPECT_NE(first.fingerprint(), second.fingerprint());
  second.base_version = 4;
  second.remove.push_back("x/c");
  EXPECT_NE(first.fingerprint(), second.fingerprint());
}

TEST(DocumentTest, ReportsFaultsOfAChangeBody) {
  const auto fault_names = [](const std::string& body) {
    std::vector<Fault> faults;
    parseChange(body, faults);
    std::vector<std::string> names;
    for (const Fault& fault : faults) {
      names.push_back(fault.path + " " + std::string(base::describe(fault.code).name));
    }
    return names;
  };
  using testing::ElementsAre;
  EXPECT_THAT(fault_names(R"({"change_id": "a", "base_version": 0, "document": {}})"),
              ElementsAre());
  EXPECT_THAT(fault_names("{}"), ElementsAre("change_id MissingField", "base_version MissingField",
                                             "set MissingField"));
  EXPECT_THAT(
      fault_names(R"({"change_id": "a b", "base_version": -1, "set": [], "remove": [1], "x": 0})"),
      ElementsAre("change_id InvalidValue", "base_version InvalidValue", "set InvalidValue",
                  "remove[0] InvalidValue", "x UnknownField"));
  EXPECT_THAT(fault_names(R"({"change_id": "a", "base_version": 0, "document": {}, "set": {}})"),
              ElementsAre("document InvalidValue"));
  EXPECT_THAT(fault_names(R"({"change_id": "a", "base_version": 0, "set": {"x": 1, "x": 2}})"),
              ElementsAre("set.x InvalidValue"));
  EXPECT_THAT(fault_names(std::string(5'000'000, ' ')), ElementsAre(" BodyTooLarge"));
  EXPECT_THAT(fault_names(std::string(100'000, '[')), ElementsAre(" MalformedJson"));
}

}  // namespace
}  // namespace switchsaddle::configuration::test
