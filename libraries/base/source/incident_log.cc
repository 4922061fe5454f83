#include "switchsaddle/base/incident_log.h"

#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::base {

namespace {

/** Window of IncidentLogOptions::lines_per_second. */
constexpr Duration RateWindow = std::chrono::seconds(1);

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
  EventState& state = events_[std::string(incident.event)];
  if (admitLine(state)) {
    writeLine(incident, std::exchange(state.suppressed_lines, 0));
  } else {
    ++state.suppressed_lines;
  }
  if (incident.dumps_ring) {
    dump(incident.event, state);
  }
}

void IncidentLog::writeLine(const Incident& incident, std::uint64_t suppressed_lines) {
  std::vector<LogField> fields;
  if (incident.code != ResultCode::Ok) {
    fields.push_back({"code", std::to_string(static_cast<int>(incident.code))});
    fields.push_back({"name", std::string(describe(incident.code).name)});
  }
  fields.push_back({"request_id", incident.request_id});
  fields.insert(fields.end(), incident.fields.begin(), incident.fields.end());
  if (suppressed_lines > 0) {
    fields.push_back({"left_out", std::to_string(suppressed_lines)});
  }
  logEvent(incident.severity, incident.event, fields);
}

bool IncidentLog::admitLine(EventState& state) {
  const TimePoint now = dispatcher_.now();
  if (state.lines_in_window == 0 || now - state.window_start >= RateWindow) {
    state.window_start = now;
    state.lines_in_window = 0;
  }
  if (state.lines_in_window >= options_.lines_per_second) {
    return false;
  }
  ++state.lines_in_window;
  return true;
}

void IncidentLog::reportMissingFolder() {
  if (!reported_missing_folder_) {
    logEvent(Severity::Warning, "log-ring-kept-in-memory", {{"reason", "no data folder is set"}});
  }
  reported_missing_folder_ = true;
}

void IncidentLog::dump(std::string_view event, EventState& state) {
  if (folder_.empty()) {
    reportMissingFolder();
    return;
  }
  const TimePoint now = dispatcher_.now();
  if (state.dumped_at && now - *state.dumped_at < options_.dump_interval) {
    return;
  }
  state.dumped_at = now;
  try {
    const std::filesystem::path file = ring_.dumpTo(folder_, event, options_.files);
    ++dumps_;
    logEvent(Severity::Notice, "log-ring-written", {{"file", file.string()}});
  } catch (const Error& error) {
    logEvent(Severity::Error, "log-ring-not-written", {{"reason", error.what()}});
  }
}

}  // namespace switchsaddle::base
