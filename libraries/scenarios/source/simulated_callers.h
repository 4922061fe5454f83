#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::scenarios {

/** Workers that answer each stream at once, with two pieces, and tell of each request. */
class PromptWorkers : public front::WorkerPort {
 public:
  using Listener = std::function<void(const front::WorkerRequest&)>;

  PromptWorkers(simulation::Process& process, Listener listener)
      : process_(process), listener_(std::move(listener)) {}

  front::WorkerCallPtr send(const front::WorkerRequest& request,
                            std::shared_ptr<front::WorkerObserver> observer) override;

 private:
  simulation::Process& process_;
  Listener listener_;
};

/** Always has a slot, but some come only after a wait, as when a ledger is asked. */
class UnhurriedSlots : public admission::SlotBroker {
 public:
  UnhurriedSlots(simulation::Process& process, base::RandomSource& random)
      : process_(process), random_(random) {}

  void acquire(const std::string& branch,
               std::function<void(admission::SlotOutcome)> callback) override;

 private:
  simulation::Process& process_;
  base::RandomSource& random_;
};

/** Hands the answer, or the head of a stream, to its callback; takes whatever follows. */
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

/** A stream request whose prompt names the key it is made under. */
http::Request streamRequest(const std::string& key);
/** The key which a prompt names; empty where it names none. */
std::string keyNamedIn(const std::string& body);

}  // namespace switchsaddle::scenarios
