#include "switchsaddle/streams/sequence_checker.h"

namespace switchsaddle::streams {

using base::ResultCode;

void SequenceChecker::expectRun(const std::string& run) {
  if (run.empty()) {
    return;
  }
  run_ = run;
  started_ = true;
}

ResultCode SequenceChecker::accept(const WorkerEvent& event) {
  if (fault_ != ResultCode::Ok) {
    return fault_;
  }
  if (!started_) {
    run_ = event.run;
    started_ = true;
  }
  if (event.run != run_) {
    fault_ = ResultCode::StreamRunChanged;
  } else if (finished_ || event.index < next_index_) {
    fault_ = ResultCode::StreamRepeat;
  } else if (event.index > next_index_) {
    fault_ = ResultCode::StreamGap;
  } else if (event.done) {
    finished_ = true;
  } else {
    ++next_index_;
  }
  return fault_;
}

}  // namespace switchsaddle::streams
