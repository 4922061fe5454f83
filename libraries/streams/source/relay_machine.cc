#include "switchsaddle/streams/relay_machine.h"

#include <boost/json.hpp>

#include "switchsaddle/base/error.h"

namespace switchsaddle::streams {

using base::ResultCode;

namespace {

/** The piece's JSON with the run named in it. */
std::string dataWithRun(const WorkerEvent& event) {
  boost::json::object chunk = boost::json::parse(event.data).as_object();
  if (chunk.contains("run")) {
    return boost::json::serialize(chunk);
  }
  chunk["run"] = event.run;
  return boost::json::serialize(chunk);
}

std::string formatEvent(std::uint64_t id, const std::string& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

std::string formatError(ResultCode code, std::uint64_t chunks, const std::string& run) {
  const base::ResultCodeInfo& info = base::describe(code);
  boost::json::object error;
  error["code"] = static_cast<std::uint16_t>(code);
  error["name"] = info.name;
  error["message"] = info.meaning;
  error["outcome"] = "unknown";
  error["run"] = run;
  if (chunks > 0) {
    error["last_piece"] = chunks - 1;
  } else {
    error["last_piece"] = nullptr;
  }
  error["retry_safe"] = info.retry_is_safe;
  return "event: error\n" + formatEvent(chunks, boost::json::serialize(error));
}

}  // namespace

void RelayMachine::beginAttempt() {
  if (!mayRetryElsewhere()) {
    throw base::Error(ResultCode::InternalError, "a stream with output can't start over");
  }
  parser_ = EventStreamParser();
  checker_ = SequenceChecker();
  fault_ = ResultCode::Ok;
}

void RelayMachine::onHead(const std::string& run) {
  parser_.setRun(run);
  checker_.expectRun(run);
}

RelayStep RelayMachine::onBytes(std::string_view bytes) {
  RelayStep step;
  if (ended()) {
    return step;
  }
  if (fault_ != ResultCode::Ok) {
    step.code = fault_;
    return step;
  }
  std::vector<WorkerEvent> events;
  const ResultCode parsed = parser_.feed(bytes, events);
  for (const WorkerEvent& event : events) {
    fault_ = check_sequence_ ? checker_.accept(event) : ResultCode::Ok;
    if (fault_ != ResultCode::Ok) {
      break;
    }
    handOut(event, step);
    if (ended()) {
      return step;
    }
  }
  if (fault_ == ResultCode::Ok) {
    fault_ = parsed;
  }
  step.code = fault_;
  return step;
}

void RelayMachine::handOut(const WorkerEvent& event, RelayStep& step) {
  ++outstanding_;
  if (event.done) {
    state_ = RelayState::Finished;
    step.events.push_back(formatEvent(chunks_, event.data));
    return;
  }
  state_ = RelayState::Relaying;
  step.events.push_back(formatEvent(chunks_, dataWithRun(event)));
  ++chunks_;
  tokens_ += event.tokens;
}

ResultCode RelayMachine::onWorkerEnd() const {
  return state_ == RelayState::Finished ? ResultCode::Ok : ResultCode::StreamBroken;
}

RelayStep RelayMachine::endWithError(ResultCode code) {
  RelayStep step;
  step.code = code;
  if (ended()) {
    return step;
  }
  state_ = RelayState::Broken;
  ++outstanding_;
  step.events.push_back(formatError(code, chunks_, checker_.run()));
  return step;
}

void RelayMachine::onWritten() {
  if (outstanding_ > 0) {
    --outstanding_;
  }
}

}  // namespace switchsaddle::streams
