#include "switchsaddle/base/log_writer.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>
#include <new>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

#include "switchsaddle/base/log.h"

namespace switchsaddle::base {

namespace {

/** A process that ends waits so long for the reader of its log. */
constexpr Duration FinalFlushLimit = std::chrono::milliseconds(500);
/** Above every severity of glog. */
constexpr int NoSeverity = google::NUM_SEVERITIES;

/** @return whether the descriptor took all bytes. Blocks while its reader is slow. */
bool writeWhole(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno == EAGAIN) {
      // Whoever shares the descriptor has made it non-blocking.
      pollfd writable{descriptor, POLLOUT, 0};
      ::poll(&writable, 1, -1);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

}  // namespace

/** The queue between the callers and the thread. */
struct LogWriter::State {
  State(int its_descriptor, std::size_t its_queue_bytes)
      : descriptor(its_descriptor), queue_bytes(its_queue_bytes) {}

  /** Writes lines until the writer stops. Runs on the thread. */
  void run();
  /** Takes the next line, after the lines dropped before it are told. @return false to stop. */
  bool take(std::string& line);
  /** The same; an exception would end the process, since nobody can catch it on the thread. */
  bool takeDespiteLackOfMemory(std::string& line);

  const int descriptor;
  const std::size_t queue_bytes;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> lines;
  std::size_t waiting_bytes = 0;
  /** Lines dropped since a line last told of them. */
  std::uint64_t untold = 0;
  bool writing = false;
  bool stopped = false;
  LogWriterCounters counters;
};

bool LogWriter::State::take(std::string& line) {
  std::unique_lock lock(mutex);
  writing = false;
  changed.notify_all();
  changed.wait(lock, [this] { return stopped || !lines.empty() || untold > 0; });
  if (stopped) {
    return false;
  }
  if (untold > 0 && lines.empty()) {
    line = formatEvent(Severity::Warning, "log-lines-dropped",
                       {{"count", std::to_string(std::exchange(untold, 0))}});
    line += '\n';
  } else {
    line = std::move(lines.front());
    lines.pop_front();
    waiting_bytes -= line.size();
  }
  writing = true;
  return true;
}

bool LogWriter::State::takeDespiteLackOfMemory(std::string& line) {
  while (true) {
    try {
      return take(line);
    } catch (const std::bad_alloc&) {
      // The counter of dropped lines has told what the line would have.
    }
  }
}

void LogWriter::State::run() {
  std::string line;
  while (takeDespiteLackOfMemory(line)) {
    const bool is_written = writeWhole(descriptor, line);
    const std::lock_guard lock(mutex);
    ++(is_written ? counters.written : counters.refused);
  }
}

LogWriter::LogWriter(int descriptor, std::size_t queue_bytes)
    : state_(std::make_shared<State>(descriptor, queue_bytes)) {
  std::thread([state = state_] { state->run(); }).detach();
}

LogWriter::~LogWriter() {
  const std::lock_guard lock(state_->mutex);
  state_->stopped = true;
  state_->changed.notify_all();
}

void LogWriter::write(std::string line) {
  line += '\n';
  const std::lock_guard lock(state_->mutex);
  if (state_->waiting_bytes + line.size() > state_->queue_bytes) {
    ++state_->counters.dropped;
    ++state_->untold;
    return;
  }
  state_->waiting_bytes += line.size();
  state_->lines.push_back(std::move(line));
  state_->changed.notify_all();
}

bool LogWriter::flush(Duration limit) {
  std::unique_lock lock(state_->mutex);
  return state_->changed.wait_for(lock, limit,
                                  [this] { return state_->lines.empty() && !state_->writing; });
}

LogWriterCounters LogWriter::counters() const {
  const std::lock_guard lock(state_->mutex);
  return state_->counters;
}

namespace {

/** Hands the lines of glog to a writer. */
class WriterSink : public google::LogSink {
 public:
  explicit WriterSink(LogWriter& writer) : writer_(writer) {}

  void send(google::LogSeverity severity, const char* /*full_filename*/, const char* base_filename,
            int line, const google::LogMessageTime& time, const char* message,
            std::size_t message_length) override {
    writer_.write(ToString(severity, base_filename, line, time, message, message_length));
  }

 private:
  LogWriter& writer_;
};

/** Never destroyed: threads may write to the log while static objects are. */
LogWriter* process_writer = nullptr;

}  // namespace

void writeLogOnThread() {
  try {
    process_writer = new LogWriter(STDERR_FILENO);
  } catch (const std::system_error& error) {
    logEvent(Severity::Warning, "log-without-thread", {{"reason", error.what()}});
    return;
  }
  google::AddLogSink(new WriterSink(*process_writer));
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = NoSeverity;
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
}

LogWriterCounters processLogCounters() {
  return process_writer != nullptr ? process_writer->counters() : LogWriterCounters{};
}

void writeLogLine(const std::string& line) {
  if (process_writer != nullptr) {
    process_writer->write(line);
  } else {
    std::cerr << line << std::endl;
  }
}

void flushProcessLog() {
  if (process_writer != nullptr) {
    process_writer->flush(FinalFlushLimit);
  }
}

}  // namespace switchsaddle::base
