#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "switchsaddle/testbed/fleet/process_control.h"
#include "switchsaddle/testbed/fleet/process_end.h"

namespace switchsaddle::testbed {

/**
 * Knows every process that launchDetached() started and how it ended, and tells the ends that the
 * run did not bring about. A fleet hides the loss of a process from its callers, so that no check
 * of responses can see it. An end counts as brought about only if sendSignal() or expectExit() said
 * so before: by SIGKILL, or after SIGTERM by exit status 0 or by that signal. Thread-safe.
 */
class ProcessEnds {
 public:
  /** Makes the calling process the parent of all programs that it launches from now on. */
  void watch();
  bool watching() const;
  /** @param name what reports call the process. */
  void onLaunch(const std::string& name, const ProcessIdentity& process);
  /** To be called before the signal is sent. */
  void onSignal(const ProcessIdentity& process, int signal_number);
  /** The process was asked to end by itself, with any exit status. */
  void expectExit(const ProcessIdentity& process);
  /**
   * Reaps the processes that have ended.
   * @return one line for each end since the last call that the run did not bring about, with the
   *     signals that the run had sent to the process and when.
   */
  std::vector<std::string> takeUnexpected();
  /** @return how many processes were launched, and how many have ended as the run wanted. */
  std::string summary();

 private:
  using Clock = std::chrono::steady_clock;
  struct SentSignal {
    int number = 0;
    Clock::duration after_launch{};
  };
  struct Launch {
    std::string name;
    Clock::time_point launched_at;
    std::vector<SentSignal> signals;
    bool may_exit = false;
  };

  void reap();
  static bool wasSent(const Launch& launch, int signal_number);
  /** @return the signals that the run sent, each with the time since the launch. */
  static std::string describeSignals(const Launch& launch);
  static bool isExpected(const Launch& launch, const ProcessEnd& end);

  mutable std::mutex mutex_;
  bool watching_ = false;
  /** Processes that have not been reaped, by pid; a pid is not used again before that. */
  std::map<std::int64_t, Launch> running_;
  std::vector<std::string> unexpected_;
  std::size_t launched_ = 0;
  std::size_t ended_ = 0;
};

/** @return the ends of the processes that launchDetached() of this process starts. */
ProcessEnds& processEnds();

}  // namespace switchsaddle::testbed
