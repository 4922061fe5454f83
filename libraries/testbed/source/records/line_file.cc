#include "switchsaddle/testbed/records/line_file.h"

#include <fcntl.h>
#include <unistd.h>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {

LineFile::LineFile(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {
  if (file_ < 0) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot open for appending: " + path);
  }
}

LineFile::~LineFile() {
  ::close(file_);
}

void LineFile::append(const std::string& line) {
  const std::string bytes = line + "\n";
  const ssize_t written = ::write(file_, bytes.data(), bytes.size());
  if (written != static_cast<ssize_t>(bytes.size())) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot append a line to the record file");
  }
}

}  // namespace switchsaddle::testbed
