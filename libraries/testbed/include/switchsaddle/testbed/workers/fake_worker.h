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

/** What a stand-in worker is. */
struct WorkerOptions {
  std::string id;
  std::vector<std::string> models;
  /** The pool it belongs to, such as "completions" or "confirmations". */
  std::string service;
  /** "both", "prefill" or "decode". */
  std::string stage = "both";
  std::uint32_t slots = 16;
  /** Requests which may wait for a slot; more get 503. */
  std::uint32_t queue_bound = 32;
  std::uint64_t cache_tokens = 200'000;
  WorkerSpeed speed;
  /** Time of work of one one-shot. */
  base::Duration one_shot_time = std::chrono::milliseconds(20);
  std::string weights_version = "1";
  /** Mean of the output length where the request sets no max_tokens. */
  std::uint32_t mean_output_tokens = 60;
  std::uint64_t seed = 1;
};

struct WorkerState;

/**
 * A stand-in for a model worker or a worker of one-shots: streams pieces at a modelled speed, keeps
 * a modelled KV cache, journals each run, and misbehaves as POST /testbed/faults orders. Runs on
 * the dispatcher's strand, which must be the HTTP server's.
 */
class FakeWorker {
 public:
  /** `crash` ends the process; it must not return in a real one. */
  FakeWorker(WorkerOptions options, base::Dispatcher& dispatcher, http::Client& client,
             EventSink& events, std::function<void()> crash);
  ~FakeWorker();
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** Shows the worker as draining from now on; it still serves what comes. */
  void drain();
  /** Whether nothing runs or waits. */
  bool idle() const;

 private:
  void handleFaults(const http::Request& request, const http::ResponseWriterPtr& writer);
  void handleState(const http::ResponseWriterPtr& writer);
  void handleStream(const http::Request& request, const http::ResponseWriterPtr& writer);
  void handleOneShot(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** Whether a fault took the request before any work. */
  bool struckAtOnce(const std::string& kind, const http::Request& request,
                    const http::ResponseWriterPtr& writer);

  std::unique_ptr<WorkerState> state_;
};

}  // namespace switchsaddle::testbed
