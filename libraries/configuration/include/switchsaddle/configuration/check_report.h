#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace switchsaddle::configuration {

/** What kind of file is to be checked. */
enum class CheckKind : std::uint8_t {
  /** A file with an entry's path among its keys is a configuration, else settings. */
  Detect,
  Configuration,
  Settings,
};

/** Options of `switchsaddle check`. */
struct CheckOptions {
  std::string file = {};
  CheckKind kind = CheckKind::Detect;
  /** For settings: "front", "core", or empty to check the form alone. */
  std::string role = {};
  bool json = false;
};

inline constexpr int CheckPassed = 0;
inline constexpr int CheckFailed = 1;

/** Checks a text and writes every fault; returns CheckPassed or CheckFailed. */
int checkText(const std::string& text, const CheckOptions& options, std::ostream& out);

/** Reads and checks the file of the options; a file that can't be read is a fault. */
int runCheck(const CheckOptions& options, std::ostream& out);

}  // namespace switchsaddle::configuration
