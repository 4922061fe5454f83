#include "golden_file.h"
#include "source_directory.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace switchsaddle::compatibility {

namespace {

constexpr const char* GoldenFolder =
    SWITCHSADDLE_SOURCE_DIR "/libraries/compatibility/test/golden/";

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

/** Describes the first line in which the texts differ, numbered from 1. */
std::string firstDifference(const std::string& expected, const std::string& actual) {
  std::istringstream expected_lines(expected);
  std::istringstream actual_lines(actual);
  std::string expected_line;
  std::string actual_line;
  for (int number = 1;; ++number) {
    const bool has_expected = static_cast<bool>(std::getline(expected_lines, expected_line));
    const bool has_actual = static_cast<bool>(std::getline(actual_lines, actual_line));
    if (!has_expected && !has_actual) {
      return "none";
    }
    if (has_expected != has_actual || expected_line != actual_line) {
      return "line " + std::to_string(number) +
             "\n  expected: " + (has_expected ? expected_line : "(end of file)") +
             "\n  actual:   " + (has_actual ? actual_line : "(end of text)");
    }
  }
}

}  // namespace

std::string hexText(std::string_view bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned LowNibble = 0xfU;
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(Digits[value >> 4U]);
    text.push_back(Digits[value & LowNibble]);
  }
  return text;
}

void expectGolden(const std::string& name, const std::string& actual) {
  const std::string expected = readFile(GoldenFolder + name);
  if (expected == actual) {
    return;
  }
  const std::string written = testing::TempDir() + name;
  std::ofstream(written, std::ios::binary) << actual;
  ADD_FAILURE() << name << " differs in " << firstDifference(expected, actual)
                << "\nThe actual text is in " << written;
}

}  // namespace switchsaddle::compatibility
