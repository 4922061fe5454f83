#include "switchsaddle/core/observed_proposer.h"

#include <utility>

namespace switchsaddle::core {

ObservedProposer::ObservedProposer(base::Dispatcher& dispatcher,
                                   registers::RegisterProposer& proposer,
                                   base::IncidentSink& incidents)
    : dispatcher_(dispatcher), proposer_(proposer), incidents_(incidents) {}

void ObservedProposer::change(const std::string& key, registers::ChangeFunction function,
                              registers::RegisterCallback callback) {
  proposer_.change(key, std::move(function), observe(key, std::move(callback)));
}

void ObservedProposer::read(const std::string& key, registers::RegisterCallback callback) {
  proposer_.read(key, observe(key, std::move(callback)));
}

registers::RegisterCallback ObservedProposer::observe(const std::string& key,
                                                      registers::RegisterCallback callback) {
  return [this, alive = std::weak_ptr(alive_), key, begun_at = dispatcher_.now(),
          callback = std::move(callback)](const registers::RegisterOutcome& outcome) {
    if (!alive.expired()) {
      onOutcome(key, begun_at, outcome.code);
    }
    callback(outcome);
  };
}

void ObservedProposer::onOutcome(const std::string& key, base::TimePoint begun_at,
                                 base::ResultCode code) {
  const base::Duration taken = dispatcher_.now() - begun_at;
  ++counters_.operations;
  counters_.latency.observe(taken);
  if (code != base::ResultCode::NoQuorum) {
    return;
  }
  ++counters_.without_quorum;
  base::Incident incident;
  incident.event = "no-quorum";
  incident.severity = base::Severity::Warning;
  incident.code = code;
  incident.fields = {{"register", key}, {"took_ms", std::to_string(base::toMilliseconds(taken))}};
  incident.dumps_ring = true;
  incidents_.report(incident);
}

}  // namespace switchsaddle::core
