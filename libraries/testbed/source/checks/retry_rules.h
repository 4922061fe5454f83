#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed {

/**
 * Checks the retry limit: in each window that ends with a retry, the ratio of retries to first
 * attempts must not exceed `share`. Attempts without a caller's request id are ignored. Returns the
 * findings by kind of request and adds violations.
 */
std::map<std::string, RetryFindings> checkRetries(const Evidence& evidence, std::int64_t window_ms,
                                                  double share, std::vector<Violation>& violations);

}  // namespace switchsaddle::testbed
