#include "checks/retry_rules.h"

#include <deque>
#include <set>
#include <utility>

namespace switchsaddle::testbed {
namespace {

constexpr const char* OneShot = "one-shot";
constexpr const char* Stream = "stream";

/** Attempts ordered by time; the flag is set for a retry. */
using AttemptLog = std::multiset<std::pair<std::int64_t, bool>>;

/** The times of the attempts for one kind of request, by the caller's request id. */
using AttemptTimes = std::map<std::string, std::multiset<std::int64_t>>;

/** By kind of request; a resent request has its own request id. */
std::map<std::string, AttemptTimes> attemptTimes(const Evidence& evidence) {
  std::map<std::string, AttemptTimes> attempts;
  for (const WorkerJournal& journal : evidence.journals) {
    for (const WorkerEvent& event : journal.events) {
      const bool attempt =
          event.event == worker_event::Start || event.event == worker_event::Refused;
      const bool counted = event.kind == Stream || event.kind == OneShot;
      if (attempt && counted && !event.caller_request_id.empty()) {
        attempts[event.kind][event.caller_request_id].insert(event.at_ms);
      }
    }
  }
  return attempts;
}

AttemptLog attemptsOf(const AttemptTimes& by_request) {
  AttemptLog attempt_log;
  for (const auto& [request, times] : by_request) {
    bool retry = false;
    for (const std::int64_t at_ms : times) {
      attempt_log.insert({at_ms, retry});
      retry = true;
    }
  }
  return attempt_log;
}

RetryFindings findRetries(const AttemptLog& attempt_log, std::int64_t window_ms) {
  RetryFindings findings;
  std::deque<std::pair<std::int64_t, bool>> window;
  std::uint64_t retries = 0;
  for (const auto& attempt : attempt_log) {
    window.push_back(attempt);
    retries += attempt.second ? 1 : 0;
    while (window.front().first <= attempt.first - window_ms) {
      retries -= window.front().second ? 1 : 0;
      window.pop_front();
    }
    const std::uint64_t first_attempts = window.size() - retries;
    const double share = first_attempts == 0
                             ? static_cast<double>(retries)
                             : static_cast<double>(retries) / static_cast<double>(first_attempts);
    if (attempt.second && share > findings.worst_share) {
      findings.worst_share = share;
      findings.worst_retries = retries;
      findings.worst_first_attempts = first_attempts;
    }
    (attempt.second ? findings.retries : findings.first_attempts) += 1;
  }
  return findings;
}

}  // namespace

std::map<std::string, RetryFindings> checkRetries(const Evidence& evidence, std::int64_t window_ms,
                                                  double share,
                                                  std::vector<Violation>& violations) {
  std::map<std::string, RetryFindings> by_kind;
  for (const auto& [kind, by_request] : attemptTimes(evidence)) {
    const RetryFindings findings = findRetries(attemptsOf(by_request), window_ms);
    by_kind[kind] = findings;
    if (findings.worst_share > share) {
      violations.push_back({Rule::TooManyRetries, kind,
                            std::to_string(findings.worst_retries) + " retries of " +
                                std::to_string(findings.worst_first_attempts) +
                                " first attempts in a window"});
    }
  }
  return by_kind;
}

}  // namespace switchsaddle::testbed
