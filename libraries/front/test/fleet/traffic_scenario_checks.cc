#include <algorithm>

#include "fleet/traffic_scenario.h"

// What must never have happened in a traffic scenario, judged by what callers and workers recorded.

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

bool tells(const CallerWriter& writer, const std::string& outcome) {
  return writer.response &&
         writer.response->body.find("\"outcome\":\"" + outcome + "\"") != std::string::npos;
}

/** The value of each `name":"` in a text, in order. */
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

bool TrafficScenario::excused(int front, int incarnation) const {
  return lives_[front] != incarnation;
}

void TrafficScenario::violated(const std::string& rule, const std::string& detail) {
  result_.violations.push_back(rule + ": " + detail);
}

void TrafficScenario::checkServing() {
  const base::TimePoint healed = fleet_->world.now();
  fleet_->world.runUntil([this] { return fleet_->allReadyNow(); }, ServingLimit);
  if (fleet_->world.now() - healed >= ServingLimit) {
    violated("not-serving", "not all fronts are ready " +
                                std::to_string(base::toMilliseconds(ServingLimit)) + " ms after");
  }
}

void TrafficScenario::checkHistory() {
  checkKeys();
  for (const StreamCall& call : streams_) {
    checkStream(call);
  }
  checkRetries();
  checkRevocation();
  checkEvacuation();
}

void TrafficScenario::checkKeys() {
  for (const auto& [key, runs] : ledger_.key_runs) {
    if (runs.size() > 1) {
      violated("ran-twice", key);
    }
    for (const base::TimePoint run : runs) {
      const bool explained = std::any_of(
          one_shots_.begin(), one_shots_.end(), [&, &run_key = key](const OneShotCall& call) {
            return call.key == run_key && call.sent <= run && !tells(*call.writer, "not-run");
          });
      if (!explained) {
        violated("ran-after-not-run", key);
      }
    }
  }
  for (const OneShotCall& call : one_shots_) {
    const bool ran = tells(*call.writer, "ran");
    result_.one_shots_ran += ran ? 1 : 0;
    result_.one_shots_not_run += tells(*call.writer, "not-run") ? 1 : 0;
    result_.one_shots_unknown += tells(*call.writer, "unknown") ? 1 : 0;
    if (ran && !ledger_.key_runs.contains(call.key)) {
      violated("answered-without-run", call.key);
    }
    if (!call.writer->response && !excused(call.front, call.incarnation)) {
      violated("never-answered", call.caller_request_id);
    }
  }
}

void TrafficScenario::checkStream(const StreamCall& call) {
  const CallerWriter& writer = *call.writer;
  if (tells(writer, "not-run") && ledger_.stream_runs_by_request.contains(call.caller_request_id)) {
    violated("ran-after-refusal", call.caller_request_id);
  }
  const std::vector<std::string> texts = valuesOf(writer.chunks, "text");
  const std::vector<std::string> runs = valuesOf(writer.chunks, "run");
  for (std::size_t index = 0; index < texts.size(); ++index) {
    if (texts[index] != std::to_string(index)) {
      violated("piece-order", call.caller_request_id + " " + texts[index] + " in place of " +
                                  std::to_string(index));
      break;
    }
  }
  if (std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run != runs.front(); })) {
    violated("run-changed", call.caller_request_id);
  }
  const bool done = writer.chunks.ends_with("data: [DONE]\n\n");
  const bool broken = writer.chunks.find("event: error\n") != std::string::npos;
  result_.streams_done += done ? 1 : 0;
  result_.streams_broken += broken ? 1 : 0;
  if (done) {
    const WorkerRun run = runs.empty() ? WorkerRun{} : ledger_.streams[runs.front()];
    if (!run.ended || run.chunks != texts.size()) {
      violated("early-end", call.caller_request_id);
    }
  }
  const bool whole_refusal = writer.response && writer.response->status != 200;
  if (!done && !broken && !whole_refusal && !writer.aborted) {
    if (writer.ended) {
      violated("silent-end", call.caller_request_id);
    } else if (!excused(call.front, call.incarnation)) {
      violated("never-answered", call.caller_request_id);
    }
  }
}

void TrafficScenario::checkRetries() {
  for (const bool stream : {true, false}) {
    // Of the whole fleet under the empty name.
    std::map<std::string, RetryTimes> times;
    std::set<std::string> seen;
    for (const WorkerAttempt& attempt : ledger_.attempts) {
      if (attempt.stream != stream) {
        continue;
      }
      const bool first = seen.insert(attempt.caller_request_id).second;
      for (const std::string& who : {std::string(), attempt.front}) {
        (first ? times[who].firsts : times[who].retries).push_back(attempt.at);
      }
    }
    result_.retries += times[""].retries.size();
    for (const auto& [who, of_front] : times) {
      // Each front keeps to its share of the window that ends with its own last retry. Where work
      // moves from front to front, those windows together reach back twice as far.
      checkRetryTimes(who, of_front, who.empty() ? 2 * RetryWindow : RetryWindow);
    }
  }
}

void TrafficScenario::checkRetryTimes(const std::string& who, const RetryTimes& times,
                                      base::Duration paying_window) {
  for (const base::TimePoint at : times.retries) {
    const auto within = [at](base::Duration window) {
      return [at, window](base::TimePoint time) { return time > at - window && time <= at; };
    };
    const auto retried =
        std::count_if(times.retries.begin(), times.retries.end(), within(RetryWindow));
    const auto attempted =
        std::count_if(times.firsts.begin(), times.firsts.end(), within(paying_window + RetrySlack));
    if (static_cast<double>(retried) > RetryShare * static_cast<double>(attempted)) {
      violated("too-many-retries",
               "front " + who + " " + std::to_string(retried) + " of " + std::to_string(attempted));
      return;
    }
  }
}

void TrafficScenario::checkRevocation() {
  result_.revocation_acknowledged = revoked_.has_value();
  for (const WorkerAttempt& attempt : ledger_.attempts) {
    const bool late = revoked_ && attempt.at > *revoked_ + RevocationLimit;
    if (late && attempt.caller_request_id.starts_with("revoked-")) {
      violated("ran-for-revoked-key", attempt.caller_request_id);
    }
  }
}

void TrafficScenario::checkEvacuation() {
  result_.evacuation_acknowledged = evacuated_.has_value();
  for (const WorkerAttempt& attempt : ledger_.attempts) {
    const bool late = evacuated_ && attempt.at > *evacuated_ + EvacuationLimit;
    if (late && zoneOfWorker(attempt.worker) == EvacuatedZone) {
      violated("sent-to-evacuated-zone", attempt.caller_request_id);
    }
  }
}

}  // namespace switchsaddle::front
