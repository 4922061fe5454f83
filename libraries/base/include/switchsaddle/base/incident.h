#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/log.h"
#include "switchsaddle/base/result_code.h"

namespace switchsaddle::base {

/** An event that requires an operator's attention; docs/OPERATIONS.md lists all events. */
struct Incident {
  /** Name of the event; a string literal. */
  std::string_view event;
  Severity severity = Severity::Notice;
  /** Ok if no result code applies. */
  ResultCode code = ResultCode::Ok;
  /** Id of the affected request; empty if none. */
  std::string request_id;
  /** Additional values; empty ones are not logged. */
  std::vector<LogField> fields;
  /** Whether to dump the log ring, which contains the events that led to the incident. */
  bool dumps_ring = false;
};

/** Receiver of incidents. Runs on the control strand of the reporting node. */
class IncidentSink {
 public:
  virtual ~IncidentSink() = default;
  virtual void report(const Incident& incident) = 0;
};

/** @return a sink that ignores all incidents. */
IncidentSink& ignoredIncidents();

}  // namespace switchsaddle::base
