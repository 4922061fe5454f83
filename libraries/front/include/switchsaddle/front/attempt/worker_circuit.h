#pragma once

#include <map>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

/**
 * A circuit breaker for each worker instance that refuses connections. A refused connection opens
 * the circuit for a backoff time that doubles up to a maximum; then one request may pass (half
 * open), and the circuit closes when the worker responds. Another instance of the worker starts
 * with a closed circuit. Runs on the control strand.
 */
class WorkerCircuit {
 public:
  static constexpr base::Duration FirstOpenTime = std::chrono::milliseconds(500);
  static constexpr base::Duration LongestOpenTime = std::chrono::seconds(5);

  explicit WorkerCircuit(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  /** Whether a request may be dispatched to the worker now. Changes no state. */
  bool mayAttempt(const workers::Worker& worker) const;
  /** A request is dispatched to the worker; of a half-open circuit it is the trial request. */
  void onDispatch(const workers::Worker& worker);
  /** The worker refused a connection. */
  void onRefused(const workers::Worker& worker);
  /** The worker accepted a connection. */
  void onConnected(const workers::Worker& worker);
  /** @return ids of the workers to which no request may be dispatched now. */
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
