#pragma once

#include <string>

#include "switchsaddle/testbed/records/line_file.h"

namespace switchsaddle::testbed_commands {

/** Records orders and injected failures in a file, timestamped with the machine's boot clock.
 * Thread-safe. */
class OrderRecord {
 public:
  /** Throws base::Error with StorageFailed. */
  explicit OrderRecord(const std::string& path) : file_(path) {}
  void note(const std::string& event, const std::string& subject, const std::string& detail = {});

 private:
  testbed::LineFile file_;
};

}  // namespace switchsaddle::testbed_commands
