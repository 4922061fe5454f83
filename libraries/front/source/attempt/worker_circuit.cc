#include "switchsaddle/front/attempt/worker_circuit.h"

#include <algorithm>

namespace switchsaddle::front {

bool WorkerCircuit::mayAttempt(const workers::Worker& worker) const {
  const auto found = circuits_.find(worker.entry.id);
  if (found == circuits_.end() || found->second.instance != worker.entry.instance) {
    return true;
  }
  return dispatcher_.now() >= found->second.open_until;
}

void WorkerCircuit::onDispatch(const workers::Worker& worker) {
  const auto found = circuits_.find(worker.entry.id);
  if (found == circuits_.end()) {
    return;
  }
  if (found->second.instance != worker.entry.instance) {
    circuits_.erase(found);
    return;
  }
  // The trial request of a half-open circuit: the circuit remains open for other requests until
  // this one has ended or the backoff time has passed again.
  found->second.open_until = dispatcher_.now() + found->second.open_time;
}

void WorkerCircuit::onRefused(const workers::Worker& worker) {
  Circuit& circuit = circuits_[worker.entry.id];
  const bool known = circuit.instance == worker.entry.instance && circuit.open_time.count() > 0;
  circuit.open_time =
      known ? std::min<base::Duration>(2 * circuit.open_time, LongestOpenTime) : FirstOpenTime;
  circuit.instance = worker.entry.instance;
  circuit.open_until = dispatcher_.now() + circuit.open_time;
}

void WorkerCircuit::onConnected(const workers::Worker& worker) {
  circuits_.erase(worker.entry.id);
}

std::vector<std::string> WorkerCircuit::openWorkers() const {
  std::vector<std::string> open;
  for (const auto& [id, circuit] : circuits_) {
    if (dispatcher_.now() < circuit.open_until) {
      open.push_back(id);
    }
  }
  return open;
}

}  // namespace switchsaddle::front
