#include "workers/stream_run.h"

#include <boost/json.hpp>
#include <functional>

namespace switchsaddle::testbed {
namespace {

constexpr const char* Kind = "stream";

std::string chunkEvent(std::uint64_t index, const std::string& run) {
  const boost::json::object data{{"run", run},
                                 {"index", index},
                                 {"text", "word" + std::to_string(index) + " "},
                                 {"tokens", 1}};
  return "id: " + std::to_string(index) + "\ndata: " + boost::json::serialize(data) + "\n\n";
}

}  // namespace

std::uint64_t StreamRequest::promptTokens() const {
  std::uint64_t tokens = own_tokens;
  for (const PrefixSegment& segment : segments) {
    tokens += segment.tokens;
  }
  return tokens;
}

StreamRun::StreamRun(WorkerState& worker, StreamRequest request, http::ResponseWriterPtr writer)
    : worker_(worker), request_(std::move(request)), writer_(std::move(writer)) {}

void StreamRun::start() {
  worker_.pending.insert(shared_from_this());
  writer_->onClientDisconnected(whileAlive(weak_from_this(), &StreamRun::onClientDisconnected));
  ticket_ = worker_.slots.acquire(whileAlive(weak_from_this(), &StreamRun::onSlotAcquired));
  if (ticket_ == SlotQueue::Refused) {
    closed_ = true;
    writer_->respond(worker_.refuseBeforeRun(Kind, request_.identity, "queue full"));
    worker_.forget(shared_from_this());
  } else if (!running_) {
    worker_.note(worker_event::Queued, Kind, "", request_.identity, 0, 0);
  }
}

void StreamRun::onSlotAcquired() {
  running_ = true;
  run_ = worker_.nextRun();
  sent_run_ = run_;
  cached_tokens_ = worker_.cache.cachedTokens(request_.segments);
  const std::uint64_t prompt_tokens = request_.promptTokens();
  worker_.cache.insert(request_.segments);
  worker_.note("start", Kind, run_, request_.identity, cached_tokens_, 0);

  const base::Duration age = worker_.dispatcher.now() - worker_.started;
  const std::uint64_t uncached = request_.prefilled ? 0 : prompt_tokens - cached_tokens_;
  base::Duration delay = worker_.options.speed.prefillTime(uncached, age);
  if (worker_.fault.take(FaultMode::Late)) {
    delay += worker_.fault.delay;
  }
  prefill_timer_ = worker_.dispatcher.createTimer([this] { onPrefilled(); });
  prefill_timer_->enable(delay);
}

void StreamRun::onPrefilled() {
  http::Response head;
  head.headers = worker_.answerHeaders(request_.identity.request_id);
  head.headers.push_back({"Run", run_});
  head.headers.push_back({"Cached-Tokens", std::to_string(cached_tokens_)});
  head.headers.push_back({"Content-Type", "text/event-stream"});
  writer_->startStream(std::move(head));
  chunk_timer_ = worker_.dispatcher.createTimer([this] { sendNextChunk(); });
  chunk_timer_->enable(base::Duration::zero());
}

void StreamRun::sendNextChunk() {
  if (injectFault()) {
    return;
  }
  if (chunks_ == request_.output_tokens) {
    finish();
    return;
  }
  std::string chunk = chunkEvent(index_, sent_run_);
  ++chunks_;
  ++index_;
  sendChunk(std::move(chunk));
}

void StreamRun::sendChunk(std::string chunk) {
  writer_->writeChunk(std::move(chunk), [weak = weak_from_this()](bool taken) {
    if (const auto self = weak.lock()) {
      self->onWritten(taken);
    }
  });
}

void StreamRun::onWritten(bool taken) {
  if (closed_) {
    return;
  }
  if (!taken) {
    onClientDisconnected();
    return;
  }
  chunk_timer_->enable(worker_.options.speed.tokenTime(worker_.slots.running()));
}

bool StreamRun::injectFault() {
  FaultOrder& fault = worker_.fault;
  if (chunks_ < fault.after_chunks) {
    return false;
  }
  if (fault.waits_for_chunk && fault.take(FaultMode::Crash)) {
    worker_.crash();
    return true;
  }
  if (fault.take(FaultMode::Stall)) {
    return true;
  }
  if (fault.take(FaultMode::Cut)) {
    close("cancelled");
    writer_->abort();
    return true;
  }
  if (fault.take(FaultMode::TruncatingClose)) {
    close("cancelled");
    writer_->endStream();
    return true;
  }
  if (fault.take(FaultMode::Gap)) {
    ++index_;
  } else if (index_ > 0 && fault.take(FaultMode::Repeat)) {
    --index_;
  } else if (fault.take(FaultMode::ChangeRun)) {
    sent_run_ = run_ + "-other";
  }
  return false;
}

void StreamRun::finish() {
  close("end");
  writer_->writeChunk("id: " + std::to_string(index_) + "\ndata: [DONE]\n\n", [](bool) {});
  writer_->endStream();
  worker_.last_request_id = request_.identity.request_id;
}

void StreamRun::onClientDisconnected() {
  if (!closed_) {
    close("cancelled");
  }
}

void StreamRun::close(const std::string& event) {
  const auto self = shared_from_this();
  closed_ = true;
  for (const base::TimerPtr& timer : {std::cref(prefill_timer_), std::cref(chunk_timer_)}) {
    if (timer != nullptr) {
      timer->disable();
    }
  }
  if (running_) {
    worker_.note(event, Kind, run_, request_.identity, cached_tokens_, chunks_);
    worker_.slots.release();
  } else {
    worker_.slots.cancel(ticket_);
  }
  worker_.forget(self);
}

}  // namespace switchsaddle::testbed
