#include "workers/decode_relay.h"

namespace switchsaddle::testbed {
namespace {

constexpr const char* Kind = "prefill";

}  // namespace

DecodeRelay::DecodeRelay(WorkerState& worker, StreamRequest request, http::Request original,
                         base::NodeAddress decode_worker, http::ResponseWriterPtr writer)
    : worker_(worker),
      request_(std::move(request)),
      original_(std::move(original)),
      decode_worker_(std::move(decode_worker)),
      writer_(std::move(writer)) {}

void DecodeRelay::start() {
  worker_.pending.insert(shared_from_this());
  writer_->onClientDisconnected(whileAlive(weak_from_this(), &DecodeRelay::onClientDisconnected));
  ticket_ = worker_.slots.acquire(whileAlive(weak_from_this(), &DecodeRelay::onSlotAcquired));
  if (ticket_ == SlotQueue::Refused) {
    writer_->respond(worker_.refuseBeforeRun(Kind, request_.identity, "queue full"));
    close();
  }
}

void DecodeRelay::onSlotAcquired() {
  prefilling_ = true;
  run_ = worker_.nextRun();
  const std::uint64_t cached = worker_.cache.cachedTokens(request_.segments);
  const std::uint64_t prompt_tokens = request_.promptTokens();
  worker_.cache.insert(request_.segments);
  worker_.note("start", Kind, run_, request_.identity, cached, 0);
  const base::Duration age = worker_.dispatcher.now() - worker_.started;
  timer_ = worker_.dispatcher.createTimer([this] { onPrefilled(); });
  timer_->enable(worker_.options.speed.prefillTime(prompt_tokens - cached, age));
}

void DecodeRelay::onPrefilled() {
  prefilling_ = false;
  worker_.note("end", Kind, run_, request_.identity, 0, 0);
  worker_.slots.release();
  http::Request decode_request;
  decode_request.method = "POST";
  decode_request.target = original_.target;
  decode_request.body = original_.body;
  decode_request.headers = {{"Content-Type", "application/json"},
                            {"Request-Id", request_.identity.request_id},
                            {"Caller-Request-Id", request_.identity.caller_request_id},
                            {"Tenant", request_.identity.tenant},
                            {PrefilledHeader, "1"}};
  http::ExchangeOptions options;
  exchange_ =
      worker_.client.start(decode_worker_, std::move(decode_request), options, shared_from_this());
}

void DecodeRelay::onResponseHead(const http::Response& head) {
  if (closed_) {
    return;
  }
  http::Response relayed;
  relayed.status = head.status;
  for (const char* name : {"Request-Id", "Versions", "Worker-Load", "Run", "Cached-Tokens",
                           "Worker-State", "Content-Type"}) {
    if (!head.header(name).empty()) {
      relayed.headers.push_back({name, std::string(head.header(name))});
    }
  }
  streaming_ = true;
  writer_->startStream(std::move(relayed));
}

void DecodeRelay::onBodyBytes(std::string bytes, std::function<void()> resume) {
  if (closed_) {
    return;
  }
  writer_->writeChunk(std::move(bytes),
                      [weak = weak_from_this(), resume = std::move(resume)](bool taken) {
                        const auto self = weak.lock();
                        if (self == nullptr) {
                          return;
                        }
                        if (!taken) {
                          self->onClientDisconnected();
                          return;
                        }
                        resume();
                      });
}

void DecodeRelay::onComplete() {
  if (closed_) {
    return;
  }
  writer_->endStream();
  close();
}

void DecodeRelay::onFailure(http::ExchangeFailure, bool) {
  if (closed_) {
    return;
  }
  if (streaming_) {
    writer_->abort();
  } else {
    writer_->respond(worker_.refusal(502, request_.identity.request_id, "decode worker failed"));
  }
  close();
}

void DecodeRelay::onClientDisconnected() {
  if (closed_) {
    return;
  }
  if (exchange_ != nullptr) {
    exchange_->cancel();
  }
  close();
}

void DecodeRelay::close() {
  const auto self = shared_from_this();
  closed_ = true;
  if (timer_ != nullptr) {
    timer_->disable();
  }
  if (prefilling_) {
    prefilling_ = false;
    worker_.note("cancelled", Kind, run_, request_.identity, 0, 0);
    worker_.slots.release();
  } else {
    worker_.slots.cancel(ticket_);
  }
  exchange_.reset();
  worker_.forget(self);
}

}  // namespace switchsaddle::testbed
