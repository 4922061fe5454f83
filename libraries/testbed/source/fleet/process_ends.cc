#include "switchsaddle/testbed/fleet/process_ends.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {

void ProcessEnds::watch() {
  // Programs are launched by an intermediate process, which they outlive.
  if (::prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) != 0) {
    throw base::Error(base::ResultCode::InternalError,
                      "cannot become the parent of launched programs");
  }
  const std::lock_guard lock(mutex_);
  watching_ = true;
}

bool ProcessEnds::watching() const {
  const std::lock_guard lock(mutex_);
  return watching_;
}

void ProcessEnds::onLaunch(const std::string& name, const ProcessIdentity& process) {
  const std::lock_guard lock(mutex_);
  if (watching_) {
    running_[process.pid] = {name, Clock::now(), {}, false};
    ++launched_;
  }
}

void ProcessEnds::onSignal(const ProcessIdentity& process, int signal_number) {
  const std::lock_guard lock(mutex_);
  const auto found = running_.find(process.pid);
  if (found != running_.end()) {
    Launch& launch = found->second;
    launch.signals.push_back({signal_number, Clock::now() - launch.launched_at});
  }
}

void ProcessEnds::expectExit(const ProcessIdentity& process) {
  const std::lock_guard lock(mutex_);
  const auto found = running_.find(process.pid);
  if (found != running_.end()) {
    found->second.may_exit = true;
  }
}

std::vector<std::string> ProcessEnds::takeUnexpected() {
  const std::lock_guard lock(mutex_);
  reap();
  return std::exchange(unexpected_, {});
}

std::string ProcessEnds::summary() {
  const std::lock_guard lock(mutex_);
  reap();
  return "processes: launched=" + std::to_string(launched_) + " ended=" + std::to_string(ended_);
}

void ProcessEnds::reap() {
  for (auto launch = running_.begin(); launch != running_.end();) {
    int status = 0;
    if (::waitpid(static_cast<pid_t>(launch->first), &status, WNOHANG) != launch->first) {
      ++launch;
      continue;
    }
    const ProcessEnd end = ProcessEnd::ofStatus(status);
    if (isExpected(launch->second, end)) {
      ++ended_;
    } else {
      unexpected_.push_back(launch->second.name + " (process " + std::to_string(launch->first) +
                            ") ended by itself: " + end.text() + describeSignals(launch->second));
    }
    launch = running_.erase(launch);
  }
}

bool ProcessEnds::isExpected(const Launch& launch, const ProcessEnd& end) {
  if (end.by_signal) {
    const bool ends_processes = end.number == SIGKILL || end.number == SIGTERM;
    return ends_processes && wasSent(launch, end.number);
  }
  return launch.may_exit || (end.number == 0 && wasSent(launch, SIGTERM));
}

bool ProcessEnds::wasSent(const Launch& launch, int signal_number) {
  return std::ranges::any_of(launch.signals, [signal_number](const SentSignal& signal) {
    return signal.number == signal_number;
  });
}

std::string ProcessEnds::describeSignals(const Launch& launch) {
  std::string text;
  for (const SentSignal& signal : launch.signals) {
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(signal.after_launch);
    text += text.empty() ? "; sent:" : ",";
    text += " signal " + std::to_string(signal.number) + " " + std::to_string(after.count()) +
            " ms after its launch";
  }
  return text;
}

ProcessEnds& processEnds() {
  static ProcessEnds ends;
  return ends;
}

}  // namespace switchsaddle::testbed
