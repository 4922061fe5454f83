#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::scenarios {

/** Workers that answer each stream immediately with two events, and report each request. */
class ImmediateWorkers : public front::WorkerPort {
 public:
  using Listener = std::function<void(const front::WorkerRequest&)>;

  ImmediateWorkers(simulation::Process& process, Listener listener)
      : process_(process), listener_(std::move(listener)) {}

  front::WorkerCallPtr send(const front::WorkerRequest& request,
                            std::shared_ptr<front::WorkerObserver> observer) override;

 private:
  simulation::Process& process_;
  Listener listener_;
};

/** Grants every slot, some after a delay as for a request to the ledger. */
class DelayedSlots : public admission::SlotBroker {
 public:
  DelayedSlots(simulation::Process& process, base::RandomSource& random)
      : process_(process), random_(random) {}

  void acquire(const std::string& branch,
               std::function<void(admission::SlotOutcome)> callback) override;

 private:
  simulation::Process& process_;
  base::RandomSource& random_;
};

/** Passes the answer, or the head of a stream, to its callback; discards the chunks. */
class CallbackWriter : public http::ResponseWriter {
 public:
  explicit CallbackWriter(std::function<void(http::Response)> answered)
      : answered_(std::move(answered)) {}

  void respond(http::Response response) override { answered_(std::move(response)); }
  void startStream(http::Response head) override { answered_(std::move(head)); }
  void writeChunk(std::string /*chunk*/, std::function<void(bool)> written) override {
    written(true);
  }
  void endStream() override {}
  void abort() override {}
  void onClientDisconnected(std::function<void()> /*callback*/) override {}

 private:
  std::function<void(http::Response)> answered_;
};

/** A stream request whose prompt contains the caller's key. */
http::Request streamRequest(const std::string& key);
/** The key in a prompt of streamRequest(); empty if there is none. */
std::string keyNamedIn(const std::string& body);

}  // namespace switchsaddle::scenarios
