#include <algorithm>
#include <utility>

#include "forward/forward_run.h"

// Relaying of forwarded streams: checks, measures and writes their events.

namespace switchsaddle::front {

using base::ResultCode;
using worker_health::DispatchEnd;

namespace {

/** Chunks that the caller's connection may have pending before reading from the worker pauses. */
constexpr std::size_t MaximumOutstanding = 16;
/** Their bytes, beside the event that exceeds them. */
constexpr std::size_t MaximumOutstandingBytes = 16U << 10U;

}  // namespace

void ForwardRun::relay(const std::vector<streams::RawEvent>& events) {
  std::string bytes;
  for (const streams::RawEvent& event : events) {
    const bool repeated = event.id && last_event_id_ && *event.id <= *last_event_id_;
    if (repeated) {
      if (!bytes.empty()) {
        writeEvents(std::move(bytes));
      }
      onLost(ResultCode::StreamRepeat);
      return;
    }
    measureEvent();
    if (events_of_dispatch_ == 0) {
      onFirstEvent();
    }
    ++events_of_dispatch_;
    last_event_id_ = event.id;
    bytes += event.bytes;
  }
  if (!bytes.empty()) {
    writeEvents(std::move(bytes));
  }
}

void ForwardRun::onFirstEvent() {
  completion_.time_to_first_token = environment_.dispatcher.now() - dispatched_at_;
  environment_.placer.onFirstToken(*placement_);
  recordLateness();
  environment_.counters.first_token.observe(completion_.time_to_first_token);
}

void ForwardRun::measureEvent() {
  const base::TimePoint now = environment_.dispatcher.now();
  if (events_of_dispatch_ == 0) {
    first_event_at_ = now;
  } else {
    sample_.longest_pause = std::max<base::Duration>(sample_.longest_pause, now - last_event_at_);
  }
  last_event_at_ = now;
}

void ForwardRun::recordLoss(ForwardLoss loss) {
  flow_.losses_.record(request_.route->name, loss);
}

void ForwardRun::recordLateness() {
  const base::Duration target = std::chrono::milliseconds(request_.route->response_target_ms);
  const bool late = environment_.dispatcher.now() - started_at_ > target;
  if (!late || stream_started_ || !placement_->learned) {
    return;
  }
  const routing::Placement& expected = *placement_->learned;
  if (expected.first_token_estimate <= target) {
    recordLoss(ForwardLoss::LateDespiteEstimate);
  } else {
    recordLoss(expected.prefill_estimate > target ? ForwardLoss::LateOwnPrompt
                                                  : ForwardLoss::LateQueue);
  }
}

void ForwardRun::writeEvents(std::string bytes) {
  beginStream();
  ++outstanding_;
  const std::size_t size = bytes.size();
  outstanding_bytes_ += size;
  caller_.writeChunk(std::move(bytes), [weak = weak_from_this(), size](WriteOutcome outcome) {
    if (const auto run = weak.lock()) {
      run->onWritten(outcome, size);
    }
  });
}

void ForwardRun::beginStream() {
  if (stream_started_) {
    return;
  }
  stream_started_ = true;
  ++environment_.counters.streams_started;
  caller_.startStream(callerMessage(*head_));
}

void ForwardRun::onWritten(WriteOutcome outcome, std::size_t bytes) {
  if (ended_) {
    return;
  }
  --outstanding_;
  outstanding_bytes_ -= bytes;
  takeResponseMemory();
  if (outcome == WriteOutcome::Disconnected) {
    cancel();
    return;
  }
  resumeReading();
}

void ForwardRun::resumeReading() {
  const bool may_read =
      outstanding_ < MaximumOutstanding && outstanding_bytes_ < MaximumOutstandingBytes;
  if (resume_ && may_read) {
    std::exchange(resume_, nullptr)();
  } else if (resume_) {
    sample_.held_back = true;
  }
}

void ForwardRun::finishStream() {
  beginStream();
  ++environment_.counters.streams_finished;
  const base::Duration gap_target = std::chrono::milliseconds(request_.route->event_gap_target_ms);
  if (gap_target > base::Duration::zero() && sample_.longest_pause > gap_target) {
    recordLoss(ForwardLoss::LateEvent);
  }
  environment_.counters.countRequest("forwarded-stream", "ran", ResultCode::Ok);
  endDispatch(DispatchEnd::Answered);
  const auto self = shared_from_this();
  release();
  caller_.endStream();
}

}  // namespace switchsaddle::front
