#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/incident_log.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/metrics/page.h"
#include "switchsaddle/metrics/strand_watch.h"
#include "switchsaddle/transport/asio_dispatcher.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle {

/**
 * What every daemon stands on: one io_context run by one thread, the control strand, the peers'
 * transport, the journal and the signals. The journal's events go to the log ring, those that an
 * operator must see to the log too; the ring is written to the data folder's `log` when something
 * goes wrong.
 */
class DaemonProcess {
 public:
  explicit DaemonProcess(const configuration::Settings& settings);

  boost::asio::io_context& context() { return context_; }
  transport::AsioDispatcher& dispatcher() { return dispatcher_; }
  transport::PeerCalls& calls() { return calls_; }
  base::RandomSource& random() { return random_; }
  journal::Journal& journal() { return journal_; }
  base::IncidentSink& incidents() { return incidents_; }
  /** Adds processor time, memory and the traffic between nodes. */
  void appendMetrics(metrics::Page& page) const;

  /**
   * Runs until `stop`, called on the first SIGTERM or SIGINT, has called its argument. A second
   * signal ends the process at once. Returns the exit code.
   */
  int run(std::function<void(std::function<void()>)> stop);
  /** Called on each SIGHUP, and when the settings file has changed without one. */
  void onSettingsChange(const std::string& file, std::function<void()> callback);

 private:
  void awaitSignal();
  void awaitHangup();
  void watchSettingsFile();

  boost::asio::io_context context_{1};
  transport::AsioDispatcher dispatcher_;
  transport::TcpTransport transport_;
  transport::PeerCalls calls_;
  base::RandomSource random_ = base::RandomSource::fromSystem();
  journal::Journal journal_;
  base::IncidentLog incidents_;
  metrics::StrandWatch strand_watch_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set hangup_;
  std::function<void(std::function<void()>)> stop_;
  std::function<void()> settings_changed_;
  std::filesystem::path settings_file_;
  std::filesystem::file_time_type settings_written_{};
  base::TimerPtr settings_timer_;
  bool stopping_ = false;
};

}  // namespace switchsaddle
