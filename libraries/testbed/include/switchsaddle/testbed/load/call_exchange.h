#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/testbed/load/event_stream_reader.h"
#include "switchsaddle/testbed/records/call_event.h"
#include "switchsaddle/testbed/records/line_file.h"

namespace switchsaddle::testbed {

/** Receives the events of calls in the order in which they happen. */
class CallSink {
 public:
  virtual ~CallSink() = default;
  virtual void append(const CallEvent& event) = 0;
};

/** Appends each event to a file as one line. */
class FileCallSink : public CallSink {
 public:
  /** Throws base::Error with StorageFailed. */
  explicit FileCallSink(const std::string& path) : file_(path) {}
  void append(const CallEvent& event) override { file_.append(toJsonLine(event)); }

 private:
  LineFile file_;
};

/** A sink with the clock that timestamps its events. */
struct CallRecorder {
  base::Dispatcher& dispatcher;
  CallSink& sink;

  void record(CallEvent event) const;
};

/**
 * Records one call from the caller's side: the response head, each chunk and exactly one answer.
 * Runs on the client's thread. The client owns it until the exchange has ended.
 */
class CallExchange : public http::ExchangeObserver {
 public:
  using Ended = std::function<void(const CallEvent& answer)>;

  /** `sent` is the call's "sent" event, which the caller has already recorded. */
  CallExchange(CallRecorder recorder, const CallEvent& sent, Ended ended);

  void onResponseHead(const http::Response& head) override;
  void onBodyBytes(std::string bytes, std::function<void()> resume) override;
  void onComplete() override;
  void onFailure(http::ExchangeFailure failure, bool refused) override;

 private:
  void onEvent(const StreamEvent& event);
  void onChunk(const StreamEvent& event);
  void readOutcome(const std::string& text);
  void answer(const std::string& end);

  CallRecorder recorder_;
  CallEvent answer_;
  Ended ended_;
  EventStreamReader reader_;
  std::string body_;
  bool streaming_ = false;
  bool done_seen_ = false;
  bool error_seen_ = false;
  bool answered_ = false;
};

}  // namespace switchsaddle::testbed
