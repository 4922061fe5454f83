#include <gtest/gtest.h>

#include "store_bench.h"

namespace switchsaddle::storage {
namespace {

using base::ResultCode;
using Records = std::map<std::string, std::string>;

template <typename Bench>
class RecordStoreContract : public testing::Test {
 protected:
  Bench bench_{smallOptions()};
};

using Benches = testing::Types<PosixBench, SimulatedBench>;
TYPED_TEST_SUITE(RecordStoreContract, Benches);

TYPED_TEST(RecordStoreContract, EmptyFolderStartsANewInstance) {
  const OpenedStore opened = this->bench_.open();
  EXPECT_TRUE(opened.is_new);
  EXPECT_EQ(opened.loss, "");
  EXPECT_EQ(opened.records, Records{});
}

TYPED_TEST(RecordStoreContract, KeepsInstanceAndRecordsAfterARestart) {
  const OpenedStore first = this->bench_.open();
  EXPECT_EQ(this->bench_.put("key", std::string("by\0tes", 6)), ResultCode::Ok);
  EXPECT_EQ(this->bench_.put("empty", ""), ResultCode::Ok);
  this->bench_.restart();
  const OpenedStore second = this->bench_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_FALSE(second.is_new);
  EXPECT_EQ(second.records, (Records{{"key", std::string("by\0tes", 6)}, {"empty", ""}}));
}

TYPED_TEST(RecordStoreContract, StaysNewUntilTheFirstCommit) {
  const OpenedStore first = this->bench_.open();
  this->bench_.restart();
  const OpenedStore second = this->bench_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_TRUE(second.is_new);
}

TYPED_TEST(RecordStoreContract, LastWriteOfAKeyWins) {
  this->bench_.open();
  this->bench_.put("kept", "1");
  this->bench_.put("erased", "1");
  this->bench_.commit({{"kept", "2", false}, {"kept", "3", false}, {"erased", "", true}});
  this->bench_.restart();
  EXPECT_EQ(this->bench_.open().records, (Records{{"kept", "3"}}));
}

TYPED_TEST(RecordStoreContract, CommitsBeforeOpeningFail) {
  EXPECT_EQ(this->bench_.put("key", "bytes"), ResultCode::StorageFailed);
  EXPECT_EQ(this->bench_.open().records, Records{});
}

TYPED_TEST(RecordStoreContract, CommitsSubmittedTogetherShareAFile) {
  this->bench_.open();
  constexpr int Commits = 50;
  int answered = 0;
  for (int index = 0; index < Commits; ++index) {
    this->bench_.store().commit({{"key" + std::to_string(index), "bytes", false}},
                                [&answered](ResultCode code) {
                                  EXPECT_EQ(code, ResultCode::Ok);
                                  ++answered;
                                });
  }
  this->bench_.runUntil([&] { return answered == Commits; });
  // The initial commit, the first one, which is written alone, and the queued ones together.
  EXPECT_LE(this->bench_.fileSystem().list("records").size(), 3U);
  this->bench_.restart();
  EXPECT_EQ(this->bench_.open().records.size(), static_cast<std::size_t>(Commits));
}

TYPED_TEST(RecordStoreContract, CompactionKeepsTheRecordsAndBoundsTheFiles) {
  const OpenedStore first = this->bench_.open();
  Records expected;
  for (int index = 0; index < 200; ++index) {
    const std::string key = "key" + std::to_string(index % 17);
    if (index % 5 == 0) {
      this->bench_.erase(key);
      expected.erase(key);
    } else {
      this->bench_.put(key, std::to_string(index));
      expected[key] = std::to_string(index);
    }
  }
  this->bench_.restart();
  const OpenedStore second = this->bench_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_EQ(second.records, expected);
  std::vector<std::string> damaged;
  EXPECT_EQ(this->bench_.scrub(damaged), ResultCode::Ok);
  const std::vector<std::string> names = this->bench_.fileSystem().list("records");
  const auto is_bucket = [](const std::string& name) { return name.ends_with(".snap"); };
  EXPECT_EQ(std::count_if(names.begin(), names.end(), is_bucket), 3);
}

TYPED_TEST(RecordStoreContract, MayBeOpenedAgain) {
  const OpenedStore first = this->bench_.open();
  this->bench_.put("key", "bytes");
  const OpenedStore second = this->bench_.open();
  EXPECT_EQ(second.instance, first.instance);
  EXPECT_EQ(second.records, (Records{{"key", "bytes"}}));
  EXPECT_EQ(this->bench_.put("key", "more"), ResultCode::Ok);
}

TYPED_TEST(RecordStoreContract, DestructionDropsCallbacks) {
  this->bench_.open();
  bool called = false;
  this->bench_.store().commit({{"key", "bytes", false}}, [&called](ResultCode) { called = true; });
  this->bench_.restart();
  this->bench_.open();
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace switchsaddle::storage
