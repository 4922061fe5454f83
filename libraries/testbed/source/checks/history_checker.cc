#include "switchsaddle/testbed/checks/history_checker.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "checks/call_history.h"
#include "checks/order_rules.h"
#include "checks/retry_rules.h"

namespace switchsaddle::testbed {
namespace {

constexpr const char* OneShot = "one-shot";
constexpr const char* Stream = "stream";

/** Checks each rule against the histories of calls and runs. */
class HistoryChecker {
 public:
  explicit HistoryChecker(const Evidence& evidence)
      : evidence_(evidence), limits_(evidence.limits), calls_(foldCalls(evidence.calls)) {
    for (const WorkerJournal& journal : evidence.journals) {
      foldRuns(journal, runs_);
    }
    for (const auto& [number, call] : calls_) {
      if (!call.sent.idempotency_key.empty()) {
        calls_by_key_[call.sent.idempotency_key].push_back(&call);
      }
    }
    for (const auto& [id, run] : runs_) {
      if (run.start.kind == OneShot) {
        runs_by_key_[run.start.idempotency_key].push_back(&run);
      }
    }
  }

  HistoryReport result() {
    checkKeys();
    checkRefusals();
    for (const auto& [number, call] : calls_) {
      count(call);
      if (call.sent.kind == Stream) {
        checkStream(call);
      }
    }
    checkLimits();
    checkOrders(evidence_, report_);
    report_.retries = checkRetries(evidence_, RetryWindowMs, RetryShare, report_.violations);
    measureFirstTokens();
    return std::move(report_);
  }

 private:
  void addViolation(Rule rule, const std::string& subject, const std::string& detail) {
    report_.violations.push_back(Violation{rule, subject, detail});
  }

  static std::string subjectOf(const CallHistory& call) {
    return "call " + std::to_string(call.sent.call) + " request " + call.sent.request_id;
  }

  void checkKeys() {
    for (const auto& [key, runs] : runs_by_key_) {
      if (runs.size() > 1) {
        addViolation(Rule::RanTwice, key, std::to_string(runs.size()) + " runs");
      }
      for (const RunHistory* run : runs) {
        checkRunOfKey(key, *run);
      }
    }
    for (const auto& [key, calls] : calls_by_key_) {
      checkAnswersOfKey(key, calls);
    }
  }

  /** Whether the run may have been caused by this call. */
  static bool mayHaveCaused(const CallHistory& call, const RunHistory& run) {
    return call.mayHaveRun() && call.sent.at_ms <= run.start.at_ms;
  }

  void checkRunOfKey(const std::string& key, const RunHistory& run) {
    const auto found = calls_by_key_.find(key);
    if (found == calls_by_key_.end()) {
      return;
    }
    const auto& calls = found->second;
    const bool caused_by_call =
        std::any_of(calls.begin(), calls.end(),
                    [&run](const CallHistory* call) { return mayHaveCaused(*call, run); });
    if (!caused_by_call) {
      addViolation(Rule::RanAfterNotRun, key, "run " + run.start.run);
    }
  }

  void checkAnswersOfKey(const std::string& key, const std::vector<const CallHistory*>& calls) {
    if (runs_by_key_.contains(key)) {
      return;
    }
    for (const CallHistory* call : calls) {
      if (call->answered && call->answer.outcome == "ran") {
        addViolation(Rule::AnsweredWithoutRun, key, subjectOf(*call));
        return;
      }
    }
  }

  void checkRefusals() {
    std::map<std::string, const CallHistory*> refused;
    for (const auto& [number, call] : calls_) {
      if (call.answeredNotRun() && !call.sent.request_id.empty()) {
        refused[call.sent.request_id] = &call;
      }
    }
    for (const auto& [id, run] : runs_) {
      const auto found = refused.find(run.start.caller_request_id);
      if (found != refused.end() && run.start.kind != "prefill") {
        addViolation(Rule::RanAfterRefusal, subjectOf(*found->second), "run " + id);
      }
    }
  }

  void checkStream(const CallHistory& call) {
    checkChunks(call);
    if (!call.answered) {
      return;
    }
    if (call.answer.end == call_end::Truncated) {
      addViolation(Rule::TruncatedEnd, subjectOf(call),
                   std::to_string(call.chunks.size()) + " chunks");
    }
    if (call.answer.end == call_end::Done) {
      checkEnd(call);
    }
  }

  void checkChunks(const CallHistory& call) {
    std::int64_t expected = 0;
    for (const ReceivedChunk& chunk : call.chunks) {
      if (chunk.index != expected) {
        addViolation(
            Rule::ChunkOrder, subjectOf(call),
            "chunk " + std::to_string(chunk.index) + ", expected " + std::to_string(expected));
        break;
      }
      ++expected;
    }
    for (const ReceivedChunk& chunk : call.chunks) {
      if (chunk.run != call.chunks.front().run) {
        addViolation(Rule::RunChanged, subjectOf(call),
                     call.chunks.front().run + " then " + chunk.run);
        break;
      }
    }
  }

  void checkEnd(const CallHistory& call) {
    const std::string run_id = call.chunks.empty() ? call.answer.run : call.chunks.front().run;
    const auto run = runs_.find(run_id);
    if (run == runs_.end() || !run->second.finished) {
      addViolation(Rule::EarlyEnd, subjectOf(call),
                   "run " + run_id + " was not finished by its worker");
      return;
    }
    if (run->second.chunks != call.chunks.size()) {
      addViolation(Rule::EarlyEnd, subjectOf(call),
                   std::to_string(call.chunks.size()) + " of " +
                       std::to_string(run->second.chunks) + " chunks");
    }
  }

  /** Checks the peak of concurrent runs of each tenant. Runs do not overlap if one ends at the time
   * when the other starts. */
  void checkLimits() {
    std::map<std::string, std::multiset<std::pair<std::int64_t, int>>> changes;
    for (const auto& [id, run] : runs_) {
      if (run.start.kind != "prefill") {
        changes[run.start.tenant].insert({run.start.at_ms, 1});
        changes[run.start.tenant].insert({run.end_ms, -1});
      }
    }
    for (const auto& [tenant, steps] : changes) {
      std::int64_t running = 0;
      std::int64_t peak = 0;
      for (const auto& [at_ms, step] : steps) {
        running += step;
        peak = std::max(peak, running);
      }
      report_.peak_by_tenant[tenant] = static_cast<std::uint32_t>(peak);
      const auto limit = limits_.find(tenant);
      if (limit != limits_.end() && peak > limit->second) {
        addViolation(
            Rule::OverLimit, tenant,
            std::to_string(peak) + " concurrent runs, limit " + std::to_string(limit->second));
      }
    }
  }

  void count(const CallHistory& call) {
    if (!call.answered) {
      ++report_.open_calls;
      return;
    }
    std::string name = call.sent.kind + " " + call.answer.end;
    if (call.answer.code != 0) {
      name += " " + std::to_string(call.answer.code);
    }
    if (!call.answer.outcome.empty()) {
      name += " " + call.answer.outcome;
    }
    ++report_.answers[name];
  }

  void measureFirstTokens() {
    std::vector<std::int64_t> times;
    for (const auto& [number, call] : calls_) {
      if (!call.chunks.empty()) {
        times.push_back(call.chunks.front().at_ms - call.sent.at_ms);
      }
    }
    std::sort(times.begin(), times.end());
    report_.first_token.samples = times.size();
    if (!times.empty()) {
      report_.first_token.p50_ms = times[(times.size() - 1) * 50 / 100];
      report_.first_token.p95_ms = times[(times.size() - 1) * 95 / 100];
    }
  }

  const Evidence& evidence_;
  const std::map<std::string, std::uint32_t>& limits_;
  std::map<std::uint64_t, CallHistory> calls_;
  std::map<std::string, RunHistory> runs_;
  std::map<std::string, std::vector<const CallHistory*>> calls_by_key_;
  std::map<std::string, std::vector<const RunHistory*>> runs_by_key_;
  HistoryReport report_;
};

}  // namespace

std::string ruleName(Rule rule) {
  switch (rule) {
    case Rule::RanTwice:
      return "ran-twice";
    case Rule::RanAfterNotRun:
      return "ran-after-not-run";
    case Rule::RanAfterRefusal:
      return "ran-after-refusal";
    case Rule::AnsweredWithoutRun:
      return "answered-without-run";
    case Rule::ChunkOrder:
      return "piece-order";
    case Rule::RunChanged:
      return "run-changed";
    case Rule::EarlyEnd:
      return "early-end";
    case Rule::TruncatedEnd:
      return "silent-end";
    case Rule::OverLimit:
      return "over-limit";
    case Rule::RefusedWithinLimit:
      return "refused-inside";
    case Rule::RanInEvacuatedZone:
      return "ran-in-evacuated-zone";
    case Rule::RanForRevokedKey:
      return "ran-for-revoked-key";
    case Rule::SentToLeavingWorker:
      return "sent-to-leaving-worker";
    case Rule::TooManyRetries:
      return "too-many-retries";
  }
  return "unknown";
}

HistoryReport checkHistory(const Evidence& evidence) {
  return HistoryChecker(evidence).result();
}

std::string formatHistoryReport(const HistoryReport& report) {
  std::ostringstream text;
  for (const auto& [name, count] : report.answers) {
    text << "answers: " << name << ": " << count << "\n";
  }
  text << "calls without an answer: " << report.open_calls << "\n";
  text << "first token: p50 " << report.first_token.p50_ms << " ms, p95 "
       << report.first_token.p95_ms << " ms, samples " << report.first_token.samples << "\n";
  for (const auto& [tenant, peak] : report.peak_by_tenant) {
    text << "peak of concurrent runs: " << tenant << ": " << peak << "\n";
  }
  for (const auto& [event, count] : report.orders) {
    text << "orders: " << event << ": " << count;
    const auto latest = report.latest_start_ms.find(event);
    if (latest != report.latest_start_ms.end()) {
      text << ", latest start after " << latest->second << " ms";
    }
    text << "\n";
  }
  for (const auto& [kind, findings] : report.retries) {
    text << "retries: " << kind << ": " << findings.retries << " of " << findings.first_attempts
         << " first attempts; worst window " << findings.worst_retries << " of "
         << findings.worst_first_attempts << "\n";
  }
  for (const Violation& violation : report.violations) {
    text << "VIOLATION " << ruleName(violation.rule) << ": " << violation.subject << ": "
         << violation.detail << "\n";
  }
  text << "violations: " << report.violations.size() << "\n";
  return text.str();
}

}  // namespace switchsaddle::testbed
