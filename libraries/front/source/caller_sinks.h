#pragma once

#include <memory>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/stream_flow.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::front {

/** Writes a stream's events to the caller as text/event-stream; the header goes out with the first
 * event. Callbacks of the writer are posted to the control strand. */
class EventStreamSink : public StreamSink {
 public:
  EventStreamSink(base::Dispatcher& dispatcher, http::ResponseWriterPtr writer)
      : dispatcher_(dispatcher), writer_(std::move(writer)) {}
  void refuse(const StreamRefusal& refusal) override;
  void setRun(const std::string& run, std::uint32_t cached_tokens) override;
  void sendEvent(std::string event, std::function<void(bool)> written) override;
  void end(base::ResultCode code) override;

 private:
  base::Dispatcher& dispatcher_;
  http::ResponseWriterPtr writer_;
  bool started_ = false;
  http::Response head_;
};

/** Collects a whole run and answers it as one JSON completion, or an error where it broke. */
class CollectingSink : public StreamSink {
 public:
  CollectingSink(std::string model, http::ResponseWriterPtr writer)
      : model_(std::move(model)), writer_(std::move(writer)) {}
  void refuse(const StreamRefusal& refusal) override;
  void setRun(const std::string& run, std::uint32_t cached_tokens) override;
  void sendEvent(std::string event, std::function<void(bool)> written) override;
  void end(base::ResultCode code) override;

 private:
  std::string model_;
  http::ResponseWriterPtr writer_;
  std::string run_;
  std::string text_;
  std::uint64_t tokens_ = 0;
};

}  // namespace switchsaddle::front
