#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed {

/**
 * Applies the rule on retries: within each window that ends with a retry, the attempts at the
 * workers beyond the first for a caller's request may be at most this share of the first ones.
 * Attempts without a caller's request id are passed over. Returns what was found, by kind of work.
 */
std::map<std::string, RetryFindings> checkRetries(const Evidence& evidence, std::int64_t window_ms,
                                                  double share, std::vector<Violation>& violations);

}  // namespace switchsaddle::testbed
