#include "switchsaddle/base/incident_log.h"

#include <utility>

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
  Written& written = written_[std::string(incident.event)];
  if (mayWrite(written)) {
    writeLine(incident, std::exchange(written.left_out, 0));
  } else {
    ++written.left_out;
  }
  if (incident.dumps_ring) {
    dump(incident.event, written);
  }
}

void IncidentLog::writeLine(const Incident& incident, std::uint64_t left_out) {
  std::vector<LogField> fields;
  if (incident.code != ResultCode::Ok) {
    fields.push_back({"code", std::to_string(static_cast<int>(incident.code))});
    fields.push_back({"name", std::string(describe(incident.code).name)});
  }
  fields.push_back({"request_id", incident.request_id});
  fields.insert(fields.end(), incident.fields.begin(), incident.fields.end());
  fields.push_back({"left_out", left_out == 0 ? "" : std::to_string(left_out)});
  logEvent(incident.severity, incident.event, fields);
}

bool IncidentLog::mayWrite(Written& written) {
  const TimePoint now = dispatcher_.now();
  if (written.lines == 0 || now - written.second_began >= std::chrono::seconds(1)) {
    written.second_began = now;
    written.lines = 0;
  }
  if (written.lines >= options_.lines_per_second) {
    return false;
  }
  ++written.lines;
  return true;
}

void IncidentLog::dump(std::string_view event, Written& written) {
  if (folder_.empty()) {
    if (!reported_missing_folder_) {
      logEvent(Severity::Warning, "log-ring-kept-in-memory", {{"reason", "no data folder is set"}});
    }
    reported_missing_folder_ = true;
    return;
  }
  const TimePoint now = dispatcher_.now();
  if (written.dumped_at && now - *written.dumped_at < options_.dump_pause) {
    return;
  }
  written.dumped_at = now;
  try {
    const std::filesystem::path file = ring_.dumpTo(folder_, event, options_.files);
    ++dumps_;
    logEvent(Severity::Notice, "log-ring-written", {{"file", file.string()}});
  } catch (const Error& error) {
    logEvent(Severity::Error, "log-ring-not-written", {{"reason", error.what()}});
  }
}

}  // namespace switchsaddle::base
