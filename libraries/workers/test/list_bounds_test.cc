#include "switchsaddle/workers/list_bounds.h"

#include <gtest/gtest.h>

#include <string>

#include "switchsaddle/workers/platform_list.h"

namespace switchsaddle::workers {
namespace {

TEST(ListReadingTest, TakesAListOfThousandsOfWorkers) {
  ListReading reading;
  const std::string page(20U << 10U, ' ');
  for (int pages = 0; pages < 200; ++pages) {
    ASSERT_TRUE(reading.addPage(page)) << pages;
  }
}

TEST(ListReadingTest, EndsAListWhosePagesNeverEnd) {
  ListReading reading;
  std::size_t pages = 0;
  while (reading.addPage("{}") && pages <= MaximumListPages) {
    ++pages;
  }
  EXPECT_EQ(pages, MaximumListPages);
}

TEST(ListReadingTest, EndsAListOfTooManyBytes) {
  ListReading reading;
  const std::string page(1U << 20U, ' ');
  std::size_t bytes = 0;
  while (reading.addPage(page) && bytes <= MaximumListBytes) {
    bytes += page.size();
  }
  EXPECT_EQ(bytes, MaximumListBytes);
}

TEST(ListReadingTest, APageOfManySmallValuesIsNotParsed) {
  std::string page = R"({"workers":[)";
  while (page.size() < 3 * MaximumListValues) {
    page += "0,";
  }
  page += "0]}";
  EXPECT_FALSE(ListReading().addPage(page));
  EXPECT_EQ(parsePlatformList(page).code, base::ResultCode::BodyTooLarge);
}

}  // namespace
}  // namespace switchsaddle::workers
