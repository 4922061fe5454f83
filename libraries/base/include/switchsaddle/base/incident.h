#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/log.h"
#include "switchsaddle/base/result_code.h"

namespace switchsaddle::base {

/** Something an operator must see; docs/OPERATIONS.md lists the events. */
struct Incident {
  /** The event's name, of a fixed set. */
  std::string_view event;
  Severity severity = Severity::Notice;
  ResultCode code = ResultCode::Ok;
  /** The request concerned; empty where there is none. */
  std::string request_id;
  /** Further values; those left empty are not written. */
  std::vector<LogField> fields;
  /** Whether the log ring is to be written out, so that what led to it can be read. */
  bool dumps_ring = false;
};

/** Takes what an operator must see. Nodes report to it; tests collect, daemons log. */
class IncidentSink {
 public:
  virtual ~IncidentSink() = default;
  virtual void report(const Incident& incident) = 0;
};

/** Passes everything over; for nodes that nobody listens to. */
IncidentSink& ignoredIncidents();

}  // namespace switchsaddle::base
