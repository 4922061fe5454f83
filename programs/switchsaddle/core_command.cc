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
#include "switchsaddle/core/control/core_http_service.h"
#include "switchsaddle/core/node/core_node.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/storage/file_record_store.h"
#include "switchsaddle/storage/posix_file_system.h"
#include "switchsaddle/storage/thread_storage_executor.h"

namespace switchsaddle {

namespace {

/** A core daemon: a CoreNode with the sockets, disk and clock of the process. */
class CoreDaemon : public Daemon {
 public:
  CoreDaemon(const configuration::Settings& settings, SettingsOptions options,
             const DiskFactory& open_disk)
      : settings_(settings),
        options_(std::move(options)),
        limits_(processLimits(settings_, node_options::NodeRole::Core)),
        adapter_(createPlatformAdapter(settings_)),
        process_(settings_, limits_.peers),
        disk_(open_disk(settings_.data_folder)),
        executor_(process_.dispatcher()),
        store_(process_.dispatcher(), *disk_, executor_, process_.random()),
        client_(http::createClient(process_.context())),
        platform_(adapter_->createPlatformSource(process_.dispatcher(), *client_,
                                                 settings_.platform_address)),
        node_(core::CoreEnvironment{process_.dispatcher(),
                                    process_.calls(),
                                    store_,
                                    process_.random(),
                                    process_.journal(),
                                    *platform_,
                                    settings_,
                                    {},
                                    &process_.incidents(),
                                    &process_.strandWatch()}),
        service_(node_, [this](metrics::Page& page) { appendMetrics(page); }),
        server_(http::startServer(process_.context(), settings_.http_address, limits_.callers,
                                  [this](http::Request request, http::ResponseWriterPtr writer) {
                                    handle(std::move(request), std::move(writer));
                                  })) {}

  int run() override {
    process_.dispatcher().post([this] { node_.start(); });
    base::logEvent(
        base::Severity::Notice, "core-started",
        {{"peer", settings_.peer_address.toString()}, {"http", settings_.http_address.toString()}});
    process_.onSettingsChange(options_.file, [this] {
      reloadSeeds(options_, "core", settings_, [this](std::vector<base::NodeAddress> seeds) {
        node_.setSeeds(std::move(seeds));
      });
    });
    return process_.run([this](std::function<void()> stopped) {
      server_->stopAccepting();
      node_.stop(std::move(stopped));
    });
  }

 private:
  void appendMetrics(metrics::Page& page) const {
    process_.appendMetrics(page);
    appendServerMetrics(page, "control", *server_, limits_.callers);
  }

  void handle(http::Request request, http::ResponseWriterPtr writer) {
    process_.dispatcher().post([this, request = std::move(request), writer = std::move(writer)] {
      const auto respond = [writer](http::Response response) {
        writer->respond(std::move(response));
      };
      if (!adapter_->handleControl(node_.control(), request, respond)) {
        service_.handle(request, respond);
      }
    });
  }

  configuration::Settings settings_;
  SettingsOptions options_;
  node_options::NodeLimits limits_;
  std::unique_ptr<PlatformAdapter> adapter_;
  DaemonProcess process_;
  std::unique_ptr<storage::FileSystem> disk_;
  storage::ThreadStorageExecutor executor_;
  storage::FileRecordStore store_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<workers::PlatformSource> platform_;
  core::CoreNode node_;
  core::CoreHttpService service_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace

std::unique_ptr<storage::FileSystem> openDisk(const std::string& data_folder) {
  return std::make_unique<storage::PosixFileSystem>(data_folder);
}

void addCoreCommand(CLI::App& app, int& exit_code, DiskFactory open_disk) {
  CLI::App* command = app.add_subcommand("core", "Run a core: a node of the control plane");
  command_line::describeUse(*command,
                            {"switchsaddle core --settings core.json --data-folder data"});
  const auto options = addSettingsOptions(*command);
  command->callback([options, open_disk = std::move(open_disk), &exit_code] {
    takeOverSurroundings();
    base::writeLogOnThread();
    useMemorySparingly();
    exit_code = startAndRun([&options, &open_disk] {
      return std::make_unique<CoreDaemon>(loadSettings(*options, "core"), *options, open_disk);
    });
  });
}

}  // namespace switchsaddle
