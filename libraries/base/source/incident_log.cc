#include "switchsaddle/base/incident_log.h"

#include "switchsaddle/base/error.h"

namespace switchsaddle::base {

namespace {

/** Takes reports and does nothing. */
class IgnoringSink : public IncidentSink {
 public:
  void report(const Incident& /*incident*/) override {}
};

}  // namespace

IncidentSink& ignoredIncidents() {
  static IgnoringSink sink;
  return sink;
}

IncidentLog::IncidentLog(Dispatcher& dispatcher, const LogRing& ring, std::filesystem::path folder,
                         IncidentLogOptions options)
    : dispatcher_(dispatcher), ring_(ring), folder_(std::move(folder)), options_(options) {}

void IncidentLog::report(const Incident& incident) {
  std::vector<LogField> fields;
  if (incident.code != ResultCode::Ok) {
    fields.push_back({"code", std::to_string(static_cast<int>(incident.code))});
    fields.push_back({"name", std::string(describe(incident.code).name)});
  }
  fields.push_back({"request_id", incident.request_id});
  fields.insert(fields.end(), incident.fields.begin(), incident.fields.end());
  logEvent(incident.severity, incident.event, fields);
  if (incident.dumps_ring) {
    dump(incident.event);
  }
}

bool IncidentLog::isDue(std::string_view event) {
  const TimePoint now = dispatcher_.now();
  const auto last = last_dumps_.find(event);
  if (last != last_dumps_.end() && now - last->second < options_.dump_pause) {
    return false;
  }
  last_dumps_.insert_or_assign(std::string(event), now);
  return true;
}

void IncidentLog::dump(std::string_view event) {
  if (folder_.empty()) {
    if (!told_without_folder_) {
      logEvent(Severity::Warning, "log-ring-kept-in-memory", {{"reason", "no data folder is set"}});
    }
    told_without_folder_ = true;
    return;
  }
  if (!isDue(event)) {
    return;
  }
  try {
    const std::filesystem::path file = ring_.dumpTo(folder_, event, options_.files);
    ++dumps_;
    logEvent(Severity::Notice, "log-ring-written", {{"file", file.string()}});
  } catch (const Error& error) {
    logEvent(Severity::Error, "log-ring-not-written", {{"reason", error.what()}});
  }
}

}  // namespace switchsaddle::base
