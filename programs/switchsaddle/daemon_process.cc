#include "daemon_process.h"

#include <csignal>
#include <cstdlib>

#include "process_surroundings.h"
#include "switchsaddle/base/crash_dump.h"
#include "switchsaddle/base/log.h"
#include "switchsaddle/base/log_writer.h"
#include "switchsaddle/command_line/exit_code.h"
#include "switchsaddle/journal/incident_of.h"

namespace switchsaddle {

namespace {

/** Interval at which the settings file is checked for modification. */
constexpr base::Duration SettingsPollInterval = std::chrono::seconds(2);

/** @return the folder of the log ring's dumps; empty if there is no data folder. */
std::filesystem::path logFolder(const configuration::Settings& settings) {
  if (settings.data_folder.empty()) {
    return {};
  }
  return std::filesystem::path(settings.data_folder) / "log";
}

}  // namespace

DaemonProcess::DaemonProcess(const configuration::Settings& settings,
                             const transport::TcpTransportOptions& peers)
    : dispatcher_(context_),
      transport_(context_, dispatcher_, settings.peer_address, peers),
      calls_(dispatcher_, transport_),
      journal_(dispatcher_),
      incidents_(dispatcher_, base::processLogRing(), logFolder(settings)),
      strand_watch_(dispatcher_, incidents_),
      signals_(context_, SIGTERM, SIGINT),
      hangup_(context_, SIGHUP) {
  base::installCrashDump(base::processLogRing(), logFolder(settings));
  journal_.addListener([this](const journal::Event& event) {
    logJournalEvent(event);
    if (const std::optional<base::Incident> incident = journal::incidentOf(event)) {
      incidents_.report(*incident);
    }
  });
}

void DaemonProcess::logJournalEvent(const journal::Event& event) {
  base::logEvent(base::Severity::Info, "state-change",
                 {{"subject", journal::subjectName(event.subject)},
                  {"key", event.key},
                  {"value", event.value},
                  {"version", std::to_string(event.version)}});
}

int DaemonProcess::run(std::function<void(std::function<void()>)> stop) {
  stop_ = std::move(stop);
  awaitSignal();
  awaitHangup();
  dispatcher_.post([this] { strand_watch_.start(); });
  takeSignals();
  runCallbacks();
  holdSignals();
  return EXIT_SUCCESS;
}

void DaemonProcess::runCallbacks() {
  while (!context_.stopped()) {
    try {
      context_.run();
    } catch (const std::exception& exception) {
      // Ending the process would end every other one, too, that is sent the same.
      ++failed_callbacks_;
      reportFailure(exception.what());
    }
  }
}

void DaemonProcess::reportFailure(const char* reason) {
  try {
    base::Incident incident;
    incident.event = "callback-failed";
    incident.severity = base::Severity::Error;
    incident.code = base::ResultCode::InternalError;
    incident.fields = {{"reason", reason}};
    incident.dumps_ring = true;
    incidents_.report(incident);
  } catch (const std::exception&) {
    // There is no memory to tell it; the counter does.
  }
}

void DaemonProcess::onSettingsChange(const std::string& file, std::function<void()> callback) {
  settings_file_ = file;
  settings_changed_ = std::move(callback);
  if (settings_file_.empty()) {
    return;
  }
  std::error_code ignored;
  settings_modified_at_ = std::filesystem::last_write_time(settings_file_, ignored);
  settings_timer_ = dispatcher_.createTimer([this] { pollSettingsFile(); });
  dispatcher_.post([this] { settings_timer_->enable(SettingsPollInterval); });
}

void DaemonProcess::pollSettingsFile() {
  settings_timer_->enable(SettingsPollInterval);
  std::error_code failure;
  const auto modified_at = std::filesystem::last_write_time(settings_file_, failure);
  if (!failure && modified_at != settings_modified_at_) {
    settings_modified_at_ = modified_at;
    settings_changed_();
  }
}

void DaemonProcess::awaitHangup() {
  hangup_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) {
      return;
    }
    if (settings_changed_) {
      dispatcher_.post(settings_changed_);
    }
    awaitHangup();
  });
}

void DaemonProcess::appendMetrics(metrics::Page& page) const {
  const transport::TcpTransportCounters& traffic = transport_.counters();
  const auto add = [&page](const char* name, const char* help, std::uint64_t value) {
    page.counter(name, help, static_cast<double>(value));
  };
  add("peer_messages_sent_total", "Messages sent to other nodes.", traffic.frames_sent);
  add("peer_messages_received_total", "Messages received from other nodes.",
      traffic.frames_received);
  add("peer_messages_dropped_total", "Messages to other nodes dropped before they were sent.",
      traffic.frames_dropped);
  add("peer_messages_malformed_total", "Frames from other nodes that could not be decoded.",
      traffic.malformed_frames);
  add("peer_bytes_sent_total", "Bytes sent to other nodes.", traffic.bytes_sent);
  add("peer_bytes_received_total", "Bytes of messages received from other nodes.",
      traffic.bytes_received);
  add("peer_connections_displaced_total",
      "Connections of other nodes closed because others needed their room.",
      traffic.displaced_connections);
  add("callbacks_failed_total", "Callbacks that an exception ended.", failed_callbacks_);
  page.histogram("strand_lateness_seconds", "Delay of the control strand's timers, in seconds.",
                 strand_watch_.lateness());
  const base::LogWriterCounters log = base::processLogCounters();
  add("log_lines_dropped_total", "Log lines dropped because the log is not read fast enough.",
      log.dropped);
  add("log_lines_refused_total", "Log lines that the log's file or reader did not take.",
      log.refused);
  page.process();
}

void DaemonProcess::awaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (!error) {
      onSignal(signal);
      awaitSignal();
    }
  });
}

void DaemonProcess::onSignal(int signal) {
  const std::string number = std::to_string(signal);
  switch (shutdown_.onSignal(signal)) {
    case base::ShutdownAction::Begin:
      base::logEvent(base::Severity::Notice, "stopping", {{"signal", number}});
      stop_([this] { context_.stop(); });
      break;
    case base::ShutdownAction::Continue:
      base::logEvent(base::Severity::Notice, "still-stopping", {{"signal", number}});
      break;
    case base::ShutdownAction::EndAtOnce:
      base::logEvent(base::Severity::Warning, "ended-at-once", {{"signal", number}});
      base::flushProcessLog();
      std::_Exit(static_cast<int>(command_line::ExitCode::EndedAtOnce));
  }
}

}  // namespace switchsaddle
