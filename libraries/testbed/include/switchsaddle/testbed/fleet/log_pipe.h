#pragma once

#include <string>
#include <string_view>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** A pipe that takes a program's log. The caller decides whether it is read. Used by one thread. */
class LogPipe {
 public:
  /** @throws base::Error with StorageFailed. */
  LogPipe();
  ~LogPipe();
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;

  /** Makes the pipe the standard output and error of this process; for a child before exec. */
  void becomeOutput() const;
  /** Closes this process's own writing end, so that the reader sees the end of the program. */
  void closeWriter();
  /**
   * Reads until the text has been seen.
   * @return false if it does not come within the limit, or before the last writer has ended.
   */
  bool waitForText(std::string_view text, base::Duration limit);
  /** Ends the reader: writers get EPIPE and SIGPIPE. */
  void closeReader();
  /** Writes until the pipe takes nothing more, so that the next writer blocks. Needs the reader. */
  void fill() const;
  /** All that was read so far. */
  const std::string& text() const { return text_; }

 private:
  int reader_ = -1;
  int writer_ = -1;
  std::string text_;
};

}  // namespace switchsaddle::testbed
