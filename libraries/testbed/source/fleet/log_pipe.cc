#include "switchsaddle/testbed/fleet/log_pipe.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {
namespace {

constexpr std::size_t ReadBytes = 4'096;

}  // namespace

LogPipe::LogPipe() {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot create a pipe for a log");
  }
  reader_ = ends[0];
  writer_ = ends[1];
}

LogPipe::~LogPipe() {
  closeReader();
  closeWriter();
}

void LogPipe::becomeOutput() const {
  ::dup2(writer_, STDOUT_FILENO);
  ::dup2(writer_, STDERR_FILENO);
}

bool LogPipe::waitForText(std::string_view text, base::Duration limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (text_.find(text) == std::string::npos) {
    const auto left = deadline - std::chrono::steady_clock::now();
    const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    pollfd readable{reader_, POLLIN, 0};
    if (left_ms <= 0 || ::poll(&readable, 1, static_cast<int>(left_ms)) <= 0) {
      return false;
    }
    std::array<char, ReadBytes> bytes{};
    const ssize_t count = ::read(reader_, bytes.data(), bytes.size());
    if (count <= 0) {
      return false;
    }
    text_.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return true;
}

void LogPipe::closeReader() {
  if (reader_ >= 0) {
    ::close(std::exchange(reader_, -1));
  }
}

void LogPipe::closeWriter() {
  if (writer_ >= 0) {
    ::close(std::exchange(writer_, -1));
  }
}

void LogPipe::fill() const {
  // A description of its own, since the mode of the program's one must stay as it is.
  const std::string path = "/proc/self/fd/" + std::to_string(reader_);
  const int writer = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
  const char byte = '\n';
  while (::write(writer, &byte, 1) == 1) {
  }
  ::close(writer);
}

}  // namespace switchsaddle::testbed
