#include <CLI/CLI.hpp>

#include "daemon_process.h"
#include "daemon_start.h"
#include "platform_adapter.h"
#include "process_limits.h"
#include "process_surroundings.h"
#include "role_commands.h"
#include "server_metrics.h"
#include "settings_options.h"
#include "switchsaddle/base/log.h"
#include "switchsaddle/base/log_writer.h"
#include "switchsaddle/command_line/command_line.h"
#include "switchsaddle/front/node/front_node.h"
#include "switchsaddle/front/worker_calls/http_forward_port.h"
#include "switchsaddle/front/worker_calls/http_worker_port.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle {

namespace {

/** A front daemon: a FrontNode with the sockets and clock of the process. */
class FrontDaemon : public Daemon {
 public:
  FrontDaemon(const configuration::Settings& settings, SettingsOptions options)
      : settings_(settings),
        options_(std::move(options)),
        limits_(processLimits(settings_, node_options::NodeRole::Front)),
        adapter_(createPlatformAdapter(settings_)),
        process_(settings_, limits_.peers),
        instance_(process_.random().next()),
        client_(http::createClient(process_.context(), limits_.idle_worker_connections)),
        worker_port_(process_.dispatcher(), *client_, settings_.http_address.ip, limits_.responses),
        forward_port_(process_.dispatcher(), *client_, limits_.responses),
        node_(environment()),
        server_(startServer(settings_.http_address, limits_.callers)) {
    if (!settings_.readiness_address.empty()) {
      readiness_server_ = startServer(settings_.readiness_address, limits_.readiness);
    }
  }

  int run() override {
    process_.dispatcher().post([this] { node_.start(); });
    base::logEvent(base::Severity::Notice, "front-started",
                   {{"peer", settings_.peer_address.toString()},
                    {"http", settings_.http_address.toString()},
                    {"instance", std::to_string(instance_)}});
    process_.onSettingsChange(options_.file, [this] {
      reloadSeeds(options_, "front", settings_,
                  [this](const std::vector<base::NodeAddress>& seeds) { node_.setSeeds(seeds); });
    });
    return process_.run([this](std::function<void()> stopped) {
      server_->closeAfterResponses();
      node_.stop(std::move(stopped));
    });
  }

 private:
  std::unique_ptr<http::Server> startServer(const base::NodeAddress& address,
                                            const http::ServerLimits& limits) {
    return http::startServer(process_.context(), address, limits,
                             [this](http::Request request, http::ResponseWriterPtr writer) {
                               node_.service().enqueue(std::move(request), std::move(writer));
                             });
  }

  void appendMetrics(metrics::Page& page) const {
    process_.appendMetrics(page);
    appendServerMetrics(page, "callers", *server_, limits_.callers);
    appendResponseMetrics(page, *limits_.responses);
    if (readiness_server_) {
      appendServerMetrics(page, "readiness", *readiness_server_, limits_.readiness);
    }
  }

  front::FrontEnvironment environment() {
    return {.dispatcher = process_.dispatcher(),
            .calls = process_.calls(),
            .random = process_.random(),
            .journal = process_.journal(),
            .settings = settings_,
            .workers = worker_port_,
            .instance = instance_,
            .incidents = &process_.incidents(),
            .process_metrics = [this](metrics::Page& page) { appendMetrics(page); },
            .forward_port = &forward_port_,
            .forward_headers = adapter_->forwardHeaders(),
            .response_memory = limits_.responses};
  }

  configuration::Settings settings_;
  SettingsOptions options_;
  node_options::NodeLimits limits_;
  std::unique_ptr<PlatformAdapter> adapter_;
  DaemonProcess process_;
  std::uint64_t instance_;
  std::unique_ptr<http::Client> client_;
  front::HttpWorkerPort worker_port_;
  front::HttpForwardPort forward_port_;
  front::FrontNode node_;
  std::unique_ptr<http::Server> server_;
  /** Null if the settings have no readiness address. */
  std::unique_ptr<http::Server> readiness_server_;
};

}  // namespace

void addFrontCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand("front", "Run a front: a node of the data plane");
  command_line::describeUse(*command, {"switchsaddle front --settings front.json"});
  const auto options = addSettingsOptions(*command);
  command->callback([options, &exit_code] {
    takeOverSurroundings();
    base::writeLogOnThread();
    useMemorySparingly();
    exit_code = startAndRun([&options] {
      return std::make_unique<FrontDaemon>(loadSettings(*options, "front"), *options);
    });
  });
}

}  // namespace switchsaddle
