#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/testbed/crowd/answer_script.h"
#include "switchsaddle/testbed/soak/blocking_socket.h"
#include "switchsaddle/testbed/soak/interruption.h"
#include "switchsaddle/testbed/soak/message_reader.h"
#include "switchsaddle/testbed/soak/run_ledger.h"
#include "switchsaddle/testbed/soak/wire_names.h"

namespace switchsaddle::testbed {

/** How a WireWorker behaves. */
struct WireWorkerOptions {
  std::string name;
  base::NodeAddress address;
  /** Requests that it works on at a time; more are refused. */
  int slots = 16;
  /** Whether it cuts, resets and sends surplus bytes as faulty workers do. */
  bool faulty = false;
  std::uint64_t seed = 1;
  WireNames names;
  /** The whole response to a GET request of this target, by the instance; by default an empty one.
   */
  std::function<std::string(std::string_view target, const std::string& instance)> answer_get;
};

/**
 * A worker stand-in that answers forwarded requests and one-shots on real sockets and, if faulty,
 * misuses its connections: refuses, closes before, within or after an answer, resets, answers
 * late, repeats refusals and answers, sends surplus responses with and without an id, whole or
 * cut, and answers without end. A restart makes it a new instance at the same address. Each
 * connection has a thread; runs are recorded in the ledger.
 *
 * Invariant: a request is recorded as run exactly if the worker has started to work on it, and it
 * is never answered "not run" afterwards.
 */
class WireWorker {
 public:
  /** @param ledger outlives the worker. */
  WireWorker(WireWorkerOptions options, RunLedger& ledger);
  ~WireWorker();
  WireWorker(const WireWorker&) = delete;
  WireWorker& operator=(const WireWorker&) = delete;

  /** The id of the current instance. */
  std::string id() const;
  /**
   * The ids of the current instance and of those that have ended within `lag`, as a list that lags
   * behind has them.
   */
  std::vector<std::string> listedIds(base::Duration lag) const;
  const base::NodeAddress& address() const { return address_; }
  /** Resets all connections, is away for the duration, and comes back as a new instance. */
  void restart(base::Duration away);

 private:
  /** One life of the worker; its connections end with it. */
  struct Instance {
    std::string id;
    Interruption ended;
    std::atomic<int> active = 0;
  };
  using InstancePtr = std::shared_ptr<Instance>;
  /** An instance that has ended, which the list may still show. */
  struct EndedInstance {
    std::string id;
    std::chrono::steady_clock::time_point ended_at;
  };
  /** One request that is being answered. */
  struct Exchange {
    Instance& instance;
    BlockingSocket& socket;
    base::RandomSource& random;
    WireMessage request;
    std::string request_id;
    /** Draws the behaviour: uniform in [0, 1). */
    double draw;
  };

  /** The thread of one connection. */
  struct Connection {
    std::thread thread;
    std::shared_ptr<std::atomic<bool>> ended;
  };

  /** Listens at the address; tries again for a while if it is still in use. */
  std::unique_ptr<BlockingListener> listen() const;
  void start();
  void stop();
  void joinEndedConnections();
  void acceptConnections(const InstancePtr& instance);
  void serve(const InstancePtr& instance, BlockingSocket socket, std::uint64_t seed);
  /** Each returns whether the connection stays open. */
  bool answer(Exchange& exchange);
  bool answerGet(Exchange& exchange) const;
  bool refuse(Exchange& exchange, int status) const;
  bool misanswers(const Exchange& exchange) const;
  /** Follows the script, then stays connected until the front closes the connection. */
  bool misanswer(Exchange& exchange, const AnswerScript& script) const;
  bool run(Exchange& exchange);
  bool answerWhole(Exchange& exchange);
  bool answerStream(Exchange& exchange);
  bool sendSurplus(Exchange& exchange) const;
  /** Waits a little and writes the bytes. @return whether the connection stays open. */
  static bool writeLate(Exchange& exchange, const std::string& bytes);
  base::Duration drawWorkTime(Exchange& exchange) const;
  std::string idHeader(std::string_view id) const;
  /** The header that says that a request has not run. */
  std::string notRunHeader() const;
  /** The client's id of the attempt. */
  std::string clientId(const WireMessage& request) const;

  WireWorkerOptions options_;
  RunLedger& ledger_;
  base::NodeAddress address_;
  mutable std::mutex mutex_;
  InstancePtr instance_;
  std::vector<EndedInstance> ended_instances_;
  int generation_ = 0;
  std::unique_ptr<BlockingListener> listener_;
  std::thread accepting_;
  std::vector<Connection> connections_;
};

}  // namespace switchsaddle::testbed
