#pragma once

#include <string>

namespace switchsaddle::testbed {

/** A file to which each line is appended by one write(2), so that a killed process loses no line
 * that it has appended. */
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
