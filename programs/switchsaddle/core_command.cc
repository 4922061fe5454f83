#include <CLI/CLI.hpp>

#include "daemon_process.h"
#include "http_platform_source.h"
#include "role_commands.h"
#include "settings_options.h"
#include "switchsaddle/base/log.h"
#include "switchsaddle/command_line/command_line.h"
#include "switchsaddle/core/core_http_service.h"
#include "switchsaddle/core/core_node.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/storage/file_record_store.h"
#include "switchsaddle/storage/posix_file_system.h"
#include "switchsaddle/storage/thread_storage_executor.h"

namespace switchsaddle {

namespace {

/** One core daemon: the node with real sockets, disk and clock. */
class CoreDaemon {
 public:
  explicit CoreDaemon(const configuration::Settings& settings)
      : settings_(settings),
        process_(settings_),
        file_system_(settings_.data_folder),
        executor_(process_.dispatcher()),
        store_(process_.dispatcher(), file_system_, executor_, process_.random()),
        client_(http::createClient(process_.context())),
        platform_(process_.dispatcher(), *client_, settings_.platform_address),
        node_(core::CoreEnvironment{process_.dispatcher(),
                                    process_.calls(),
                                    store_,
                                    process_.random(),
                                    process_.journal(),
                                    platform_,
                                    settings_,
                                    {},
                                    &process_.incidents()}),
        service_(node_, [this](metrics::Page& page) { process_.appendMetrics(page); }),
        server_(http::startServer(process_.context(), settings_.http_address, http::ServerLimits{},
                                  [this](http::Request request, http::ResponseWriterPtr writer) {
                                    handle(std::move(request), std::move(writer));
                                  })) {}

  int run() {
    process_.dispatcher().post([this] { node_.start(); });
    base::logEvent(
        base::Severity::Notice, "core-started",
        {{"peer", settings_.peer_address.toString()}, {"http", settings_.http_address.toString()}});
    return process_.run([this](std::function<void()> stopped) {
      server_->stopAccepting();
      node_.stop(std::move(stopped));
    });
  }

 private:
  void handle(http::Request request, http::ResponseWriterPtr writer) {
    process_.dispatcher().post([this, request = std::move(request), writer = std::move(writer)] {
      service_.handle(request,
                      [writer](http::Response response) { writer->respond(std::move(response)); });
    });
  }

  configuration::Settings settings_;
  DaemonProcess process_;
  storage::PosixFileSystem file_system_;
  storage::ThreadStorageExecutor executor_;
  storage::FileRecordStore store_;
  std::unique_ptr<http::Client> client_;
  HttpPlatformSource platform_;
  core::CoreNode node_;
  core::CoreHttpService service_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace

void addCoreCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand("core", "Run a control-plane node");
  command_line::describeUse(*command,
                            {"switchsaddle core --settings core.json --data-folder data"});
  const auto options = addSettingsOptions(*command);
  command->callback([options, &exit_code] {
    CoreDaemon daemon(loadSettings(*options, "core"));
    exit_code = daemon.run();
  });
}

}  // namespace switchsaddle
