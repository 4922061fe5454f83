#pragma once

#include <string>

namespace switchsaddle::testbed {

/** A file to which lines are appended by one write(2) each, so that a killed process loses none. */
class LineFile {
 public:
  /** Throws base::Error with StorageFailed. */
  explicit LineFile(const std::string& path);
  ~LineFile();
  LineFile(const LineFile&) = delete;
  LineFile& operator=(const LineFile&) = delete;
  /** Throws base::Error with StorageFailed. */
  void append(const std::string& line);

 private:
  int file_ = -1;
};

}  // namespace switchsaddle::testbed
