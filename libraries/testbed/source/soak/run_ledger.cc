#include "switchsaddle/testbed/soak/run_ledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace switchsaddle::testbed {
namespace {

constexpr int StatusRequestTimeout = 408;
constexpr int StatusMisdirected = 421;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

std::string endText(const ClientAttempt& attempt) {
  return attempt.end == AttemptEnd::Answered ? std::to_string(attempt.status)
                                             : attemptEndName(attempt.end);
}

}  // namespace

std::string violationName(SoakViolationKind kind) {
  switch (kind) {
    case SoakViolationKind::AttemptRanTwice:
      return "attempt-ran-twice";
    case SoakViolationKind::WorkRanTwice:
      return "work-ran-twice";
    case SoakViolationKind::RanDespitePromise:
      return "ran-despite-promise";
    case SoakViolationKind::ForeignAnswer:
      return "foreign-answer";
    case SoakViolationKind::RanWithoutAnswer:
      return "ran-without-answer";
    case SoakViolationKind::VersionAcknowledgedTwice:
      return "version-acknowledged-twice";
  }
  return "unknown";
}

std::string attemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::NotConnected:
      return "not-connected";
    case AttemptEnd::Reset:
      return "reset";
    case AttemptEnd::Unanswered:
      return "unanswered";
    case AttemptEnd::TimedOut:
      return "timed-out";
    case AttemptEnd::Malformed:
      return "malformed";
  }
  return "unknown";
}

bool promisesNoRun(int status) {
  return status == StatusRequestTimeout || status == StatusMisdirected ||
         status == StatusTooManyRequests || status == StatusUnavailable;
}

double RunLedger::elapsedSeconds() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - created_at_).count();
}

void RunLedger::add(WorkerRun run) {
  run.at_s = elapsedSeconds();
  const std::lock_guard lock(mutex_);
  works_[run.work].runs.push_back(std::move(run));
}

void RunLedger::add(ClientAttempt attempt) {
  attempt.at_s = elapsedSeconds();
  const std::lock_guard lock(mutex_);
  works_[attempt.work].attempts.push_back(std::move(attempt));
}

void RunLedger::add(AcknowledgedChange change) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string>& changes = changes_by_version_[change.version];
  if (std::ranges::find(changes, change.change) == changes.end()) {
    changes.push_back(std::move(change.change));
  }
}

std::string RunLedger::describe(const Work& work) {
  std::string text;
  for (const ClientAttempt& attempt : work.attempts) {
    text += " attempt=" + attempt.request_id + "@" + attempt.front + ":" + endText(attempt) +
            " at_s=" + std::to_string(attempt.at_s);
  }
  for (const WorkerRun& run : work.runs) {
    text += " run=" + run.request_id + "@" + run.worker + " at_s=" + std::to_string(run.at_s);
  }
  return text;
}

void RunLedger::judgeAttempt(const Work& work, const ClientAttempt& attempt,
                             std::vector<SoakViolation>& found) const {
  const auto runs = std::ranges::count(work.runs, attempt.request_id, &WorkerRun::request_id);
  const std::string text = attempt.work + describe(work);
  if (runs > 1) {
    found.push_back({SoakViolationKind::AttemptRanTwice, text});
  }
  if (runs > 0 && promisesNoRun(attempt.status)) {
    found.push_back({SoakViolationKind::RanDespitePromise, text});
  }
  if (attempt.foreign_answer) {
    found.push_back({SoakViolationKind::ForeignAnswer, text});
  }
  const bool unanswered = attempt.end == AttemptEnd::Unanswered || attempt.end == AttemptEnd::Reset;
  const bool is_owed = expects_answers_ && attempt.lasted < attempt.deadline;
  if (is_owed && runs > 0 && unanswered) {
    found.push_back({SoakViolationKind::RanWithoutAnswer, text});
  }
}

std::vector<SoakViolation> RunLedger::violations() const {
  const std::lock_guard lock(mutex_);
  std::vector<SoakViolation> found;
  for (const auto& [name, work] : works_) {
    std::set<std::string> attempts_that_ran;
    for (const WorkerRun& run : work.runs) {
      attempts_that_ran.insert(run.request_id);
    }
    if (attempts_that_ran.size() > 1) {
      found.push_back({SoakViolationKind::WorkRanTwice, name + describe(work)});
    }
    for (const ClientAttempt& attempt : work.attempts) {
      judgeAttempt(work, attempt, found);
    }
  }
  for (const auto& [version, changes] : changes_by_version_) {
    if (changes.size() > 1) {
      found.push_back(
          {SoakViolationKind::VersionAcknowledgedTwice,
           "version " + std::to_string(version) + ": " + changes[0] + ", " + changes[1]});
    }
  }
  return found;
}

std::string RunLedger::summary() const {
  const std::lock_guard lock(mutex_);
  std::size_t runs = 0;
  std::map<std::string, std::size_t> ends;
  for (const auto& [name, work] : works_) {
    runs += work.runs.size();
    for (const ClientAttempt& attempt : work.attempts) {
      ++ends[endText(attempt)];
    }
  }
  std::string text = std::to_string(works_.size()) + " works, " + std::to_string(runs) + " runs, " +
                     std::to_string(changes_by_version_.size()) + " changes; attempts:";
  for (const auto& [end, count] : ends) {
    text += " " + end + "=" + std::to_string(count);
  }
  return text;
}

}  // namespace switchsaddle::testbed
