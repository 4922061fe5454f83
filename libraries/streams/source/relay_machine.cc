#include "switchsaddle/streams/relay_machine.h"

#include "caller_events.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::streams {

using base::ResultCode;

void RelayMachine::beginAttempt() {
  if (!mayRetryElsewhere()) {
    throw base::Error(ResultCode::InternalError,
                      "run " + run() + " cannot be retried after its first chunk");
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
  emitAll(events, step);
  if (ended()) {
    return step;
  }
  if (fault_ == ResultCode::Ok) {
    fault_ = parsed;
  }
  step.code = fault_;
  return step;
}

void RelayMachine::emitAll(const std::vector<WorkerEvent>& events, RelayStep& step) {
  for (const WorkerEvent& event : events) {
    fault_ = check_sequence_ ? checker_.accept(event) : ResultCode::Ok;
    if (fault_ != ResultCode::Ok) {
      return;
    }
    emit(event, step);
    if (ended()) {
      return;
    }
  }
}

void RelayMachine::emit(const WorkerEvent& event, RelayStep& step) {
  ++outstanding_;
  if (event.done) {
    state_ = RelayState::Finished;
    step.events.push_back(formatDone(chunks_, event));
    return;
  }
  state_ = RelayState::Relaying;
  step.events.push_back(formatChunk(chunks_, event));
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
