#pragma once

#include <map>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

/**
 * Keeps requests away from worker instances that refuse connections. A refusal opens the circuit
 * for a time that doubles up to a bound; then one request may probe, and the circuit closes once
 * the worker has answered. Another instance of the worker starts with a closed circuit. Runs on the
 * control strand.
 */
class WorkerCircuit {
 public:
  static constexpr base::Duration FirstOpenTime = std::chrono::milliseconds(500);
  static constexpr base::Duration LongestOpenTime = std::chrono::seconds(5);

  explicit WorkerCircuit(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  /** Whether a request may go to the worker now. Changes nothing. */
  bool mayAttempt(const workers::Worker& worker) const;
  /** A request goes to the worker; after an open time it is the probe. */
  void onDispatch(const workers::Worker& worker);
  void onRefused(const workers::Worker& worker);
  /** The worker took a connection. */
  void onConnected(const workers::Worker& worker);
  /** Ids of the workers to which no request may go now. */
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
