#include "daemon_process.h"

#include <csignal>
#include <cstdlib>

#include "switchsaddle/base/log.h"

namespace switchsaddle {

namespace {

/** Exit code after a second signal. */
constexpr int EndedAtOnce = 130;

}  // namespace

DaemonProcess::DaemonProcess(const configuration::Settings& settings)
    : dispatcher_(context_),
      transport_(context_, dispatcher_, settings.peer_address),
      calls_(dispatcher_, transport_),
      journal_(dispatcher_),
      signals_(context_, SIGTERM, SIGINT) {
  journal_.addListener([](const journal::Event& event) {
    base::logEvent(base::Severity::Info, "belief",
                   {{"subject", journal::subjectName(event.subject)},
                    {"key", event.key},
                    {"value", event.value},
                    {"version", std::to_string(event.version)}});
  });
}

int DaemonProcess::run(std::function<void(std::function<void()>)> stop) {
  stop_ = std::move(stop);
  awaitSignal();
  context_.run();
  return EXIT_SUCCESS;
}

void DaemonProcess::awaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) {
      return;
    }
    if (stopping_) {
      std::_Exit(EndedAtOnce);
    }
    stopping_ = true;
    base::logEvent(base::Severity::Info, "stopping", {});
    stop_([this] { context_.stop(); });
    awaitSignal();
  });
}

}  // namespace switchsaddle
