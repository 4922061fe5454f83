#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/testbed/records/worker_event.h"
#include "switchsaddle/testbed/workers/worker_speed.h"

namespace switchsaddle::testbed {

/** Properties of a fake worker. */
struct WorkerOptions {
  std::string id;
  std::vector<std::string> models;
  /** The pool that it belongs to, such as "completions" or "confirmations". */
  std::string service;
  /** "both", "prefill" or "decode". */
  std::string stage = "both";
  std::uint32_t slots = 16;
  /** Requests that may wait for a slot; further requests are answered 503. */
  std::uint32_t queue_bound = 32;
  std::uint64_t cache_tokens = 200'000;
  WorkerSpeed speed;
  /** Service time of a one-shot request. */
  base::Duration one_shot_time = std::chrono::milliseconds(20);
  std::string weights_version = "1";
  /** Mean output length in tokens if the request sets no max_tokens. */
  std::uint32_t mean_output_tokens = 60;
  std::uint64_t seed = 1;
};

struct WorkerState;

/**
 * A fake worker for stream and one-shot requests. It streams chunks at a modelled speed, keeps a
 * modelled KV cache, records each run in a journal, and injects the fault set by POST
 * /testbed/faults. Runs on the dispatcher's strand, which must be the HTTP server's.
 */
class FakeWorker {
 public:
  /** `crash` ends the process. It must not return, except in a test. */
  FakeWorker(WorkerOptions options, base::Dispatcher& dispatcher, http::Client& client,
             EventSink& events, std::function<void()> crash);
  ~FakeWorker();
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** Reports the worker as draining from now on; it still serves new requests. */
  void drain();
  /** Whether no request is running or queued. */
  bool idle() const;

 private:
  void handleFaults(const http::Request& request, const http::ResponseWriterPtr& writer);
  void handleState(const http::ResponseWriterPtr& writer);
  void handleStream(const http::Request& request, const http::ResponseWriterPtr& writer);
  void handleOneShot(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** Refuses the request if a "refuse" fault is active; returns whether it did. */
  bool refuseByFault(const std::string& kind, const http::Request& request,
                     const http::ResponseWriterPtr& writer);

  std::unique_ptr<WorkerState> state_;
};

}  // namespace switchsaddle::testbed
