#include "switchsaddle/wire/stored_record.h"

#include <gtest/gtest.h>

#include "switchsaddle/allocation_tracker/allocation_tracker.h"

namespace switchsaddle::wire {
namespace {

using Names = std::vector<std::string>;

TEST(StoredRecordTest, RecordRoundTrips) {
  const Names names{"a", std::string(100'000, 'b'), ""};
  Names read;
  std::uint64_t number = 0;
  readRecord(writeRecord(names, std::uint64_t{7}), read, number);
  EXPECT_EQ(read, names);
  EXPECT_EQ(number, 7U);
}

TEST(StoredRecordTest, RejectsEveryTruncationAndTrailingBytes) {
  const std::string bytes = writeRecord(Names{"a", "b"});
  Names read;
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_THROW(readRecord(bytes.substr(0, length), read), base::Error) << length;
  }
  EXPECT_THROW(readRecord(bytes + "x", read), base::Error);
}

TEST(StoredRecordTest, RejectsAnotherByteOrder) {
  std::string bytes = writeRecord(Names{});
  ASSERT_EQ(bytes.front(), LittleEndianTag);
  bytes.front() = 0;
  Names read;
  EXPECT_THROW(readRecord(bytes, read), base::Error);
}

TEST(StoredRecordTest, ForgedLengthsAllocateLessThanOneMebibyte) {
  constexpr std::uint64_t Forged = 1ULL << 32U;
  constexpr std::size_t SmallBlock = 1U << 20U;
  Names names;
  std::string text;
  allocation_tracker::resetLargestAllocation();
  EXPECT_THROW(readRecord(writeRecord(Forged), names), base::Error);
  EXPECT_THROW(readRecord(writeRecord(Forged), text), base::Error);
  EXPECT_LT(allocation_tracker::largestAllocation(), SmallBlock);
}

}  // namespace
}  // namespace switchsaddle::wire
