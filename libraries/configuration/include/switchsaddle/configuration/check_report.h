#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace switchsaddle::configuration {

/** Kind of the file to check. */
enum class CheckKind : std::uint8_t {
  /** A file with a key that is an entry's path is a configuration, any other a settings file. */
  Detect,
  Configuration,
  Settings,
};

/** Options of `switchsaddle check`. */
struct CheckOptions {
  std::string file = {};
  CheckKind kind = CheckKind::Detect;
  /** Role whose settings are checked, "front" or "core"; empty checks the form only. */
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
