#pragma once

#include <map>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

/**
 * A circuit breaker for each worker instance that refuses connections. A refused connection opens
 * the circuit for a backoff time, which doubles with each refusal up to a maximum. Then the circuit
 * is half open and one request may pass. The circuit closes when the worker accepts a connection. A
 * new instance of the worker starts with a closed circuit. Runs on the control strand.
 */
class WorkerCircuit {
 public:
  static constexpr base::Duration FirstOpenTime = std::chrono::milliseconds(500);
  static constexpr base::Duration LongestOpenTime = std::chrono::seconds(5);

  explicit WorkerCircuit(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  /** Whether a request may be dispatched to the worker now. Changes no state. */
  bool mayAttempt(const workers::Worker& worker) const;
  /** Records that a request is dispatched to the worker: the trial request if the circuit is half
   * open. */
  void onDispatch(const workers::Worker& worker);
  /** Records that the worker refused a connection. */
  void onRefused(const workers::Worker& worker);
  /** Records that the worker accepted a connection. */
  void onConnected(const workers::Worker& worker);
  /** @return the ids of the workers whose circuit allows no request now. */
  std::vector<std::string> openWorkers() const;

 private:
  struct Circuit {
    std::uint64_t instance = 0;
    base::TimePoint open_until;
    base::Duration open_time{};
  };

  base::Dispatcher& dispatcher_;
  std::map<std::string, Circuit> circuits_;
};

}  // namespace switchsaddle::front
