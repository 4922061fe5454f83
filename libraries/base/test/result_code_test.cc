#include "switchsaddle/base/result_code.h"
#include "source_directory.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace switchsaddle::base {
namespace {

std::string tableRow(const ResultCodeInfo& info) {
  std::ostringstream row;
  row << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.http_status
      << " | " << (info.retry_is_safe ? "yes" : "no") << " | " << info.meaning << " |";
  return row.str();
}

TEST(ResultCodeTest, NumbersAreUniqueAndAscending) {
  int last = -1;
  for (const ResultCodeInfo& info : resultCodeTable()) {
    EXPECT_GT(static_cast<int>(info.code), last) << info.name;
    last = static_cast<int>(info.code);
  }
}

TEST(ResultCodeTest, NamesAreUnique) {
  std::set<std::string_view> names;
  for (const ResultCodeInfo& info : resultCodeTable()) {
    EXPECT_TRUE(names.insert(info.name).second) << info.name;
  }
}

TEST(ResultCodeTest, TheDocumentationContainsTheSameTable) {
  std::ifstream page(std::string(SWITCHSADDLE_SOURCE_DIR) + "/docs/RESULT_CODES.md");
  ASSERT_TRUE(page.is_open());
  std::set<std::string> rows;
  std::string line;
  while (std::getline(page, line)) {
    if (line.starts_with("| ") && !line.starts_with("| code")) {
      rows.insert(line);
    }
  }
  EXPECT_EQ(rows.size(), resultCodeTable().size());
  for (const ResultCodeInfo& info : resultCodeTable()) {
    EXPECT_TRUE(rows.contains(tableRow(info))) << tableRow(info);
  }
}

}  // namespace
}  // namespace switchsaddle::base
