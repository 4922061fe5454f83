#include "switchsaddle/core/configuration/observed_proposer.h"

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
  auto record = callbacks_.guard([this, key, begun_at = dispatcher_.now()](base::ResultCode code) {
    onOutcome(key, begun_at, code);
  });
  return [record = std::move(record),
          callback = std::move(callback)](const registers::RegisterOutcome& outcome) mutable {
    record(outcome.code);
    callback(outcome);
  };
}

void ObservedProposer::onOutcome(const std::string& key, base::TimePoint begun_at,
                                 base::ResultCode code) {
  const base::Duration duration = dispatcher_.now() - begun_at;
  ++counters_.operations;
  counters_.latency.observe(duration);
  if (code != base::ResultCode::NoQuorum) {
    return;
  }
  ++counters_.without_quorum;
  base::Incident incident;
  incident.event = "no-quorum";
  incident.severity = base::Severity::Warning;
  incident.code = code;
  incident.fields = {{"register", key},
                     {"took_ms", std::to_string(base::toMilliseconds(duration))}};
  incident.dumps_ring = true;
  incidents_.report(incident);
}

}  // namespace switchsaddle::core
