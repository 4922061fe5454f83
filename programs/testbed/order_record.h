#pragma once

#include <string>

#include "switchsaddle/testbed/records/line_file.h"

namespace switchsaddle::testbed_commands {

/** Notes orders and disturbances in a file with the machine's boot clock. Any thread may note. */
class OrderRecord {
 public:
  /** Throws base::Error with StorageFailed. */
  explicit OrderRecord(const std::string& path) : file_(path) {}
  void note(const std::string& event, const std::string& subject, const std::string& detail = {});

 private:
  testbed::LineFile file_;
};

}  // namespace switchsaddle::testbed_commands
