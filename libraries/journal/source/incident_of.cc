#include "switchsaddle/journal/incident_of.h"

#include <algorithm>

namespace switchsaddle::journal {

namespace {

using base::Incident;
using base::ResultCode;
using base::Severity;

/** @return the result code that the event names; StorageFailed if it names none. */
ResultCode storageCode(const Event& event) {
  if (event.value == "damaged") {
    return ResultCode::RecordCorrupt;
  }
  const auto table = base::resultCodeTable();
  const auto found = std::find_if(table.begin(), table.end(),
                                  [&](const auto& info) { return info.name == event.value; });
  return found == table.end() ? ResultCode::StorageFailed : found->code;
}

Incident makeIncident(std::string_view name, Severity severity, const Event& event) {
  Incident incident;
  incident.event = name;
  incident.severity = severity;
  incident.fields = {{"key", event.key},
                     {"value", event.value},
                     {"version", event.version == 0 ? "" : std::to_string(event.version)}};
  return incident;
}

std::optional<Incident> storageIncident(const Event& event) {
  if (event.key == "instance") {
    return makeIncident("storage-open", Severity::Notice, event);
  }
  Incident incident = makeIncident("storage-fault", Severity::Error, event);
  incident.code = storageCode(event);
  incident.dumps_ring = true;
  return incident;
}

std::optional<Incident> configurationIncident(const Event& event) {
  if (event.key == "version") {
    return makeIncident("configuration-in-force", Severity::Notice, event);
  }
  if (event.key == "refused") {
    Incident incident = makeIncident("configuration-refused", Severity::Error, event);
    incident.code = ResultCode::ConfigurationInvalid;
    return incident;
  }
  return std::nullopt;
}

std::optional<Incident> workersIncident(const Event& event) {
  if (event.key != "platform") {
    return std::nullopt;
  }
  const bool is_updated = event.value == "list read";
  return makeIncident(is_updated ? "platform-list-read" : "platform-list-kept",
                      is_updated ? Severity::Notice : Severity::Warning, event);
}

}  // namespace

std::optional<Incident> incidentOf(const Event& event) {
  switch (event.subject) {
    case Subject::Storage:
      return storageIncident(event);
    case Subject::AcceptorSet:
      return makeIncident(event.key == "replacement" ? "core-replacement" : "acceptor-set-changed",
                          Severity::Notice, event);
    case Subject::Configuration:
      return configurationIncident(event);
    case Subject::Workers:
      return workersIncident(event);
    default:
      return std::nullopt;
  }
}

}  // namespace switchsaddle::journal
