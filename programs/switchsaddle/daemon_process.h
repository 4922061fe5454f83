#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/incident_log.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/base/shutdown_policy.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/metrics/page.h"
#include "switchsaddle/metrics/strand_watch.h"
#include "switchsaddle/transport/asio_dispatcher.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle {

/**
 * Infrastructure of a daemon: an io_context run by one thread, the control strand, the transport
 * between nodes, the journal, metrics and signals. Events of the journal are written to the log
 * ring, and those that are incidents also to the log; the ring is dumped to the folder `log` of the
 * data folder on serious incidents and crashes.
 */
class DaemonProcess {
 public:
  /**
   * @param peers limits of the connections between nodes.
   * @throws base::Error with InvalidAddress or AddressUnavailable.
   */
  DaemonProcess(const configuration::Settings& settings,
                const transport::TcpTransportOptions& peers);

  boost::asio::io_context& context() { return context_; }
  transport::AsioDispatcher& dispatcher() { return dispatcher_; }
  transport::PeerCalls& calls() { return calls_; }
  base::RandomSource& random() { return random_; }
  journal::Journal& journal() { return journal_; }
  base::IncidentSink& incidents() { return incidents_; }
  const metrics::StrandWatch& strandWatch() const { return strand_watch_; }
  /** Adds processor time, memory, scheduling delay and the traffic between nodes. */
  void appendMetrics(metrics::Page& page) const;

  /**
   * Runs until graceful shutdown is complete. Further signals are handled by ShutdownPolicy.
   * @param stop starts the shutdown on the first SIGTERM or SIGINT and calls its argument when
   * done.
   * @return the exit code.
   */
  int run(std::function<void(std::function<void()>)> stop);
  /** The callback runs on each SIGHUP and after each modification of the settings file. */
  void onSettingsChange(const std::string& file, std::function<void()> callback);

 private:
  static void logJournalEvent(const journal::Event& event);
  /** Runs callbacks until the context is stopped; one that throws is reported and given up. */
  void runCallbacks();
  void reportFailure(const char* reason);
  void awaitSignal();
  void onSignal(int signal);
  void awaitHangup();
  void pollSettingsFile();

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
  std::filesystem::file_time_type settings_modified_at_{};
  base::TimerPtr settings_timer_;
  base::ShutdownPolicy shutdown_;
  std::uint64_t failed_callbacks_ = 0;
};

}  // namespace switchsaddle
