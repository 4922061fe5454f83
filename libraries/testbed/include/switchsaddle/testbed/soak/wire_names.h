#pragma once

#include <string>

namespace switchsaddle::testbed {

/** The headers that clients and workers of a soak use; by default those of the product. */
struct WireNames {
  std::string request_id = "Request-Id";
  std::string deadline_ms = "Deadline-Ms";
  std::string expect_instance = "Expect-Instance";
  std::string not_run = "Not-Run";
};

}  // namespace switchsaddle::testbed
