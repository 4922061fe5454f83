#include "daemon_start.h"

#include <poll.h>

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <string>
#include <system_error>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/log.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle {

namespace {

/** Longer than a predecessor takes to shut down (times.process_grace_s) and to be killed. */
constexpr base::Duration StartLimit = std::chrono::seconds(60);
constexpr base::Duration RetryInterval = std::chrono::milliseconds(100);
/** A fault that stays is told so often. */
constexpr base::Duration ReportInterval = std::chrono::seconds(5);

/** @return whether a fault of starting with this code may pass by itself. */
bool mayPass(base::ResultCode code) {
  switch (code) {
    case base::ResultCode::AddressUnavailable:
    case base::ResultCode::SettingsUnreadable:
    case base::ResultCode::StorageFailed:
    case base::ResultCode::StorageFull:
      return true;
    default:
      return false;
  }
}

/**
 * Waits for the next attempt.
 * @return false if the process was told to end meanwhile; these signals are blocked.
 */
bool waitForNextAttempt() {
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  const auto nanoseconds =
      std::chrono::duration_cast<std::chrono::nanoseconds>(RetryInterval).count();
  const timespec limit{0, static_cast<long>(nanoseconds)};
  if (::sigtimedwait(&ends, nullptr, &limit) >= 0) {
    return false;
  }
  if (errno != EAGAIN && errno != EINTR) {
    ::poll(nullptr, 0, static_cast<int>(base::toMilliseconds(RetryInterval)));
  }
  return true;
}

/** The attempts to start a daemon, until one succeeds or fails for good. */
class StartAttempts {
 public:
  explicit StartAttempts(const DaemonFactory& create) : create_(create) {}

  /** @return null if the process was told to end. */
  std::unique_ptr<Daemon> run() {
    do {
      if (std::unique_ptr<Daemon> daemon = attempt()) {
        reportSuccess();
        return daemon;
      }
    } while (waitForNextAttempt());
    base::logEvent(base::Severity::Notice, "stopped-while-starting");
    return nullptr;
  }

 private:
  using Clock = std::chrono::steady_clock;

  std::unique_ptr<Daemon> attempt() {
    try {
      return create_();
    } catch (const base::Error& error) {
      if (!mayPass(error.code()) || isOverdue()) {
        throw;
      }
      reportDelay(error.code(), error.what());
    } catch (const boost::system::system_error& error) {
      noteSystemError(error.what());
    } catch (const std::system_error& error) {
      noteSystemError(error.what());
    }
    return nullptr;
  }

  /** A lack of descriptors, threads or the like. Called while the exception is handled. */
  void noteSystemError(const std::string& reason) {
    if (isOverdue()) {
      throw;
    }
    reportDelay(base::ResultCode::InternalError, reason);
  }

  bool isOverdue() const { return Clock::now() - first_attempt_ >= StartLimit; }

  void reportDelay(base::ResultCode code, const std::string& reason) {
    const Clock::time_point now = Clock::now();
    if (reason == reported_ && now - reported_at_ < ReportInterval) {
      return;
    }
    reported_ = reason;
    reported_at_ = now;
    const base::ResultCodeInfo& info = base::describe(code);
    base::logEvent(base::Severity::Warning, "start-delayed",
                   {{"code", std::to_string(static_cast<int>(code))},
                    {"name", std::string(info.name)},
                    {"reason", reason},
                    {"gives_up_in_ms", milliseconds(StartLimit - (now - first_attempt_))}});
  }

  void reportSuccess() const {
    if (!reported_.empty()) {
      base::logEvent(base::Severity::Notice, "start-resumed",
                     {{"after_ms", milliseconds(Clock::now() - first_attempt_)}});
    }
  }

  static std::string milliseconds(Clock::duration duration) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
  }

  const DaemonFactory& create_;
  const Clock::time_point first_attempt_ = Clock::now();
  Clock::time_point reported_at_;
  std::string reported_;
};

}  // namespace

int startAndRun(const DaemonFactory& create) {
  const std::unique_ptr<Daemon> daemon = StartAttempts(create).run();
  return daemon ? daemon->run() : EXIT_SUCCESS;
}

}  // namespace switchsaddle
