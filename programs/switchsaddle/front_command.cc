#include <CLI/CLI.hpp>

#include "daemon_process.h"
#include "role_commands.h"
#include "settings_options.h"
#include "switchsaddle/base/log.h"
#include "switchsaddle/command_line/command_line.h"
#include "switchsaddle/front/front_node.h"
#include "switchsaddle/front/http_worker_port.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle {

namespace {

/** One front daemon: the node with real sockets and clock. */
class FrontDaemon {
 public:
  explicit FrontDaemon(const configuration::Settings& settings)
      : settings_(settings),
        process_(settings_),
        instance_(process_.random().next()),
        client_(http::createClient(process_.context())),
        worker_port_(process_.dispatcher(), *client_, settings_.http_address.ip),
        node_(environment()),
        server_(http::startServer(process_.context(), settings_.http_address, http::ServerLimits{},
                                  [this](http::Request request, http::ResponseWriterPtr writer) {
                                    node_.service().enqueue(std::move(request), std::move(writer));
                                  })) {}

  int run() {
    process_.dispatcher().post([this] { node_.start(); });
    base::logEvent(base::Severity::Notice, "front-started",
                   {{"peer", settings_.peer_address.toString()},
                    {"http", settings_.http_address.toString()},
                    {"instance", std::to_string(instance_)}});
    return process_.run([this](std::function<void()> stopped) { node_.stop(std::move(stopped)); });
  }

 private:
  front::FrontEnvironment environment() {
    return {.dispatcher = process_.dispatcher(),
            .calls = process_.calls(),
            .random = process_.random(),
            .journal = process_.journal(),
            .settings = settings_,
            .workers = worker_port_,
            .instance = instance_,
            .incidents = &process_.incidents(),
            .process_metrics = [this](metrics::Page& page) { process_.appendMetrics(page); }};
  }

  configuration::Settings settings_;
  DaemonProcess process_;
  std::uint64_t instance_;
  std::unique_ptr<http::Client> client_;
  front::HttpWorkerPort worker_port_;
  front::FrontNode node_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace

void addFrontCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand("front", "Run a data-plane node");
  command_line::describeUse(*command, {"switchsaddle front --settings front.json"});
  const auto options = addSettingsOptions(*command);
  command->callback([options, &exit_code] {
    FrontDaemon daemon(loadSettings(*options, "front"));
    exit_code = daemon.run();
  });
}

}  // namespace switchsaddle
