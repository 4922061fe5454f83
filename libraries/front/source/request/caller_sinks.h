#pragma once

#include <memory>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/request/caller_connection.h"
#include "switchsaddle/front/stream/stream_flow.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::front {

/**
 * Sends a stream's events to the caller as text/event-stream; the header is sent with the first
 * event. Runs on the control strand.
 */
class EventStreamSink : public StreamSink {
 public:
  EventStreamSink(base::Dispatcher& dispatcher, http::ResponseWriterPtr writer)
      : caller_(dispatcher, std::move(writer)) {}
  void reject(const StreamRejection& rejection) override;
  void setRun(const std::string& run, std::uint32_t cached_tokens) override;
  void sendEvent(std::string event, WriteCallback written) override;
  void end(base::ResultCode code) override;

 private:
  CallerConnection caller_;
  bool started_ = false;
  http::Response head_;
};

/**
 * Collects a complete run and responds with one JSON completion, or with an error if the stream
 * broke. Runs on the control strand.
 */
class CollectingSink : public StreamSink {
 public:
  CollectingSink(std::string model, http::ResponseWriterPtr writer)
      : model_(std::move(model)), writer_(std::move(writer)) {}
  void reject(const StreamRejection& rejection) override;
  void setRun(const std::string& run, std::uint32_t cached_tokens) override;
  void sendEvent(std::string event, WriteCallback written) override;
  void end(base::ResultCode code) override;
  std::size_t keptBytes() const override { return text_.size(); }

 private:
  std::string model_;
  http::ResponseWriterPtr writer_;
  std::string run_;
  std::string text_;
  std::uint64_t tokens_ = 0;
};

}  // namespace switchsaddle::front
