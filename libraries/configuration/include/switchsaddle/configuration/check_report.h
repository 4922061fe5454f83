#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace switchsaddle::configuration {

/** Kind of the file to check. */
enum class CheckKind : std::uint8_t {
  /**
   * Detects the kind by content: a file with no keys, or with a key that contains a slash, is a
   * configuration; any other file is a settings file.
   */
  Detect,
  Configuration,
  Settings,
};

/** Options of `switchsaddle check`. */
struct CheckOptions {
  std::string file = {};
  CheckKind kind = CheckKind::Detect;
  /** Role whose settings are checked, "front" or "core"; empty checks only the syntax and the
   * types. */
  std::string role = {};
  bool json = false;
};

/** Exit code of a check without faults. */
inline constexpr int CheckPassed = 0;
/** Exit code of a check with faults. */
inline constexpr int CheckFailed = 1;

/**
 * Checks a text and writes all faults to `out`.
 * @return CheckPassed or CheckFailed.
 */
int checkText(const std::string& text, const CheckOptions& options, std::ostream& out);

/**
 * Checks the file of the options and writes all faults to `out`; an unreadable file is a fault.
 * @return CheckPassed or CheckFailed.
 */
int runCheck(const CheckOptions& options, std::ostream& out);

}  // namespace switchsaddle::configuration
