#include <gtest/gtest.h>

#include "store_harness.h"

namespace switchsaddle::storage {
namespace {

using base::ResultCode;
using Records = std::map<std::string, std::string>;

template <typename Harness>
class RecordStoreContract : public testing::Test {
 protected:
  Harness harness_{smallOptions()};
};

using Harnesses = testing::Types<PosixStoreHarness, SimulatedStoreHarness>;
TYPED_TEST_SUITE(RecordStoreContract, Harnesses);

TYPED_TEST(RecordStoreContract, EmptyFolderStartsANewInstance) {
  const OpenedStore opened = this->harness_.open();
  EXPECT_TRUE(opened.is_new);
  EXPECT_EQ(opened.loss, "");
  EXPECT_EQ(opened.records, Records{});
}

TYPED_TEST(RecordStoreContract, KeepsInstanceAndRecordsAfterARestart) {
  const OpenedStore first = this->harness_.open();
  EXPECT_EQ(this->harness_.put("key", std::string("by\0tes", 6)), ResultCode::Ok);
  EXPECT_EQ(this->harness_.put("empty", ""), ResultCode::Ok);
  this->harness_.restart();
  const OpenedStore second = this->harness_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_FALSE(second.is_new);
  EXPECT_EQ(second.records, (Records{{"key", std::string("by\0tes", 6)}, {"empty", ""}}));
}

TYPED_TEST(RecordStoreContract, StaysNewUntilTheFirstCommit) {
  const OpenedStore first = this->harness_.open();
  this->harness_.restart();
  const OpenedStore second = this->harness_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_TRUE(second.is_new);
}

TYPED_TEST(RecordStoreContract, LastWriteOfAKeyWins) {
  this->harness_.open();
  this->harness_.put("kept", "1");
  this->harness_.put("erased", "1");
  this->harness_.commit({{"kept", "2", false}, {"kept", "3", false}, {"erased", "", true}});
  this->harness_.restart();
  EXPECT_EQ(this->harness_.open().records, (Records{{"kept", "3"}}));
}

TYPED_TEST(RecordStoreContract, CommitsBeforeOpeningFail) {
  EXPECT_EQ(this->harness_.put("key", "bytes"), ResultCode::StorageFailed);
  EXPECT_EQ(this->harness_.open().records, Records{});
}

TYPED_TEST(RecordStoreContract, CommitsSubmittedTogetherShareAFile) {
  this->harness_.open();
  constexpr int Commits = 50;
  int answered = 0;
  for (int index = 0; index < Commits; ++index) {
    this->harness_.store().commit({{"key" + std::to_string(index), "bytes", false}},
                                  [&answered](ResultCode code) {
                                    EXPECT_EQ(code, ResultCode::Ok);
                                    ++answered;
                                  });
  }
  this->harness_.runUntil([&] { return answered == Commits; });
  // One file each for the empty initial commit, the first commit, and all queued commits together.
  EXPECT_LE(this->harness_.fileSystem().list("records").size(), 3U);
  this->harness_.restart();
  EXPECT_EQ(this->harness_.open().records.size(), static_cast<std::size_t>(Commits));
}

TYPED_TEST(RecordStoreContract, CompactionKeepsTheRecordsAndBoundsTheFiles) {
  const OpenedStore first = this->harness_.open();
  Records expected;
  for (int index = 0; index < 200; ++index) {
    const std::string key = "key" + std::to_string(index % 17);
    if (index % 5 == 0) {
      this->harness_.erase(key);
      expected.erase(key);
    } else {
      this->harness_.put(key, std::to_string(index));
      expected[key] = std::to_string(index);
    }
  }
  this->harness_.restart();
  const OpenedStore second = this->harness_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_EQ(second.records, expected);
  std::vector<std::string> damaged;
  EXPECT_EQ(this->harness_.scrub(damaged), ResultCode::Ok);
  const std::vector<std::string> names = this->harness_.fileSystem().list("records");
  const auto is_bucket = [](const std::string& name) { return name.ends_with(".snap"); };
  EXPECT_EQ(std::count_if(names.begin(), names.end(), is_bucket), 3);
}

TYPED_TEST(RecordStoreContract, ReopeningKeepsInstanceAndRecords) {
  const OpenedStore first = this->harness_.open();
  this->harness_.put("key", "bytes");
  const OpenedStore second = this->harness_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_EQ(second.records, (Records{{"key", "bytes"}}));
  EXPECT_EQ(this->harness_.put("key", "more"), ResultCode::Ok);
}

TYPED_TEST(RecordStoreContract, DestructionDropsCallbacks) {
  this->harness_.open();
  bool called = false;
  this->harness_.store().commit({{"key", "bytes", false}},
                                [&called](ResultCode) { called = true; });
  this->harness_.restart();
  this->harness_.open();
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace switchsaddle::storage
