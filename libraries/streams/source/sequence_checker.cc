#include "switchsaddle/streams/sequence_checker.h"

namespace switchsaddle::streams {

using base::ResultCode;

void SequenceChecker::expectRun(const std::string& run) {
  if (run.empty()) {
    return;
  }
  run_ = run;
  run_known_ = true;
}

ResultCode SequenceChecker::accept(const WorkerEvent& event) {
  if (fault_ != ResultCode::Ok) {
    return fault_;
  }
  if (!run_known_) {
    run_ = event.run;
    run_known_ = true;
  }
  fault_ = check(event);
  if (fault_ != ResultCode::Ok) {
    return fault_;
  }
  if (event.done) {
    finished_ = true;
  } else {
    ++next_index_;
  }
  return ResultCode::Ok;
}

ResultCode SequenceChecker::check(const WorkerEvent& event) const {
  if (event.run != run_) {
    return ResultCode::StreamRunChanged;
  }
  if (finished_ || event.index < next_index_) {
    return ResultCode::StreamRepeat;
  }
  return event.index > next_index_ ? ResultCode::StreamGap : ResultCode::Ok;
}

}  // namespace switchsaddle::streams
