#include <algorithm>

#include "fleet/traffic_scenario.h"

// The checks of a traffic scenario, by what callers and workers recorded.

namespace switchsaddle::front {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration RevocationLimit = seconds(2);
constexpr base::Duration EvacuationLimit = seconds(5);
/** Time from the end of all failures until every front serves. */
constexpr base::Duration ServingLimit = seconds(12);
constexpr base::Duration RetryWindow = seconds(10);
constexpr double RetryShare = 0.1;
/** Tolerance for the rounding of the budgets' slices. */
constexpr base::Duration RetrySlack = milliseconds(300);

bool hasOutcome(const CallerWriter& writer, const std::string& outcome) {
  return writer.response &&
         writer.response->body.find("\"outcome\":\"" + outcome + "\"") != std::string::npos;
}

/** @return the value of each `name":"` in a text, in order. */
std::vector<std::string> valuesOf(const std::string& text, const std::string& name) {
  std::vector<std::string> values;
  const std::string mark = "\"" + name + "\":\"";
  for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
    at += mark.size();
    values.push_back(text.substr(at, text.find('"', at) - at));
  }
  return values;
}

}  // namespace

bool TrafficScenario::wasKilledSince(int front, int incarnation) const {
  return incarnations_[front] != incarnation;
}

void TrafficScenario::addViolation(const std::string& rule, const std::string& detail) {
  result_.violations.push_back(rule + ": " + detail);
}

void TrafficScenario::checkServing() {
  const base::TimePoint healed = fleet_->world.now();
  fleet_->world.runUntil([this] { return fleet_->allReadyNow(); }, ServingLimit);
  if (fleet_->world.now() - healed >= ServingLimit) {
    addViolation("not-serving", "not all fronts are ready " +
                                    std::to_string(base::toMilliseconds(ServingLimit)) +
                                    " ms after recovery");
  }
}

void TrafficScenario::checkHistory() {
  checkKeys();
  for (const StreamRecord& record : streams_) {
    checkStream(record);
  }
  checkRetries();
  checkRevocation();
  checkEvacuation();
}

void TrafficScenario::checkKeys() {
  for (const auto& [key, runs] : history_.key_runs) {
    if (runs.size() > 1) {
      addViolation("ran-twice", key);
    }
    for (const base::TimePoint run : runs) {
      const bool explained = std::any_of(one_shots_.begin(), one_shots_.end(),
                                         [&, &run_key = key](const OneShotRecord& record) {
                                           return record.key == run_key && record.sent <= run &&
                                                  !hasOutcome(*record.writer, "not-run");
                                         });
      if (!explained) {
        addViolation("ran-after-not-run", key);
      }
    }
  }
  for (const OneShotRecord& record : one_shots_) {
    const bool ran = hasOutcome(*record.writer, "ran");
    result_.one_shots_ran += ran ? 1 : 0;
    result_.one_shots_not_run += hasOutcome(*record.writer, "not-run") ? 1 : 0;
    result_.one_shots_unknown += hasOutcome(*record.writer, "unknown") ? 1 : 0;
    if (ran && !history_.key_runs.contains(record.key)) {
      addViolation("answered-without-run", record.key);
    }
    if (!record.writer->response && !wasKilledSince(record.front, record.incarnation)) {
      addViolation("never-answered", record.caller_request_id);
    }
  }
}

void TrafficScenario::checkStream(const StreamRecord& record) {
  const CallerWriter& writer = *record.writer;
  if (hasOutcome(writer, "not-run") &&
      history_.stream_runs_by_request.contains(record.caller_request_id)) {
    addViolation("ran-after-refusal", record.caller_request_id);
  }
  const std::vector<std::string> texts = valuesOf(writer.chunks, "text");
  const std::vector<std::string> runs = valuesOf(writer.chunks, "run");
  for (std::size_t index = 0; index < texts.size(); ++index) {
    if (texts[index] != std::to_string(index)) {
      addViolation("piece-order", record.caller_request_id + " " + texts[index] + " instead of " +
                                      std::to_string(index));
      break;
    }
  }
  if (std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run != runs.front(); })) {
    addViolation("run-changed", record.caller_request_id);
  }
  const bool done = writer.chunks.ends_with("data: [DONE]\n\n");
  const bool broken = writer.chunks.find("event: error\n") != std::string::npos;
  result_.streams_done += done ? 1 : 0;
  result_.streams_broken += broken ? 1 : 0;
  if (done) {
    const WorkerRun run = runs.empty() ? WorkerRun{} : history_.streams[runs.front()];
    if (!run.ended || run.chunks != texts.size()) {
      addViolation("early-end", record.caller_request_id);
    }
  }
  const bool rejected = writer.response && writer.response->status != 200;
  if (!done && !broken && !rejected && !writer.aborted) {
    if (writer.ended) {
      addViolation("silent-end", record.caller_request_id);
    } else if (!wasKilledSince(record.front, record.incarnation)) {
      addViolation("never-answered", record.caller_request_id);
    }
  }
}

void TrafficScenario::checkRetries() {
  for (const bool stream : {true, false}) {
    // The entry with the empty name covers the whole fleet.
    std::map<std::string, RetryTimes> times;
    std::set<std::string> seen;
    for (const WorkerAttempt& attempt : history_.attempts) {
      if (attempt.stream != stream) {
        continue;
      }
      const bool first = seen.insert(attempt.caller_request_id).second;
      for (const std::string& front : {std::string(), attempt.front}) {
        (first ? times[front].firsts : times[front].retries).push_back(attempt.at);
      }
    }
    result_.retries += times[""].retries.size();
    for (const auto& [front, of_front] : times) {
      // Each front keeps to its share of the window that ends with its own last retry. If requests
      // move from front to front, those windows together reach back twice as far.
      checkRetryTimes(front, of_front, front.empty() ? 2 * RetryWindow : RetryWindow);
    }
  }
}

void TrafficScenario::checkRetryTimes(const std::string& front, const RetryTimes& times,
                                      base::Duration first_attempts_window) {
  for (const base::TimePoint at : times.retries) {
    const auto within = [at](base::Duration window) {
      return [at, window](base::TimePoint time) { return time > at - window && time <= at; };
    };
    const auto retried =
        std::count_if(times.retries.begin(), times.retries.end(), within(RetryWindow));
    const auto attempted = std::count_if(times.firsts.begin(), times.firsts.end(),
                                         within(first_attempts_window + RetrySlack));
    if (static_cast<double>(retried) > RetryShare * static_cast<double>(attempted)) {
      addViolation("too-many-retries", "front " + front + ": retries " + std::to_string(retried) +
                                           ", first attempts " + std::to_string(attempted));
      return;
    }
  }
}

void TrafficScenario::checkRevocation() {
  result_.revocation_acknowledged = revoked_.has_value();
  for (const WorkerAttempt& attempt : history_.attempts) {
    const bool late = revoked_ && attempt.at > *revoked_ + RevocationLimit;
    if (late && attempt.caller_request_id.starts_with("revoked-")) {
      addViolation("ran-for-revoked-key", attempt.caller_request_id);
    }
  }
}

void TrafficScenario::checkEvacuation() {
  result_.evacuation_acknowledged = evacuated_.has_value();
  for (const WorkerAttempt& attempt : history_.attempts) {
    const bool late = evacuated_ && attempt.at > *evacuated_ + EvacuationLimit;
    if (late && zoneOfWorker(attempt.worker) == EvacuatedZone) {
      addViolation("sent-to-evacuated-zone", attempt.caller_request_id);
    }
  }
}

}  // namespace switchsaddle::front
