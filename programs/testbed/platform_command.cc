#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "commands.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/testbed/records/json_fields.h"
#include "switchsaddle/testbed/workers/platform_list.h"
#include "switchsaddle/transport/asio_dispatcher.h"

namespace switchsaddle::testbed_commands {
namespace {

constexpr base::Duration PollInterval = std::chrono::milliseconds(250);

/** The command line of `switchsaddle-testbed platform`. */
struct PlatformArguments {
  std::string address;
  std::string workers_file;
  int lag_ms = 1'000;
  int crashed_listed_ms = 8'000;
  bool list_without_polling = false;
  int churn_ms = 0;
};

/** Polls the workers and serves the delayed list until SIGTERM or SIGINT. Runs on one thread. */
class PlatformProcess {
 public:
  explicit PlatformProcess(const PlatformArguments& arguments)
      : dispatcher_(context_),
        client_(http::createClient(context_)),
        list_(testbed::parseWorkersFile(testbed::readTextFile(arguments.workers_file)),
              std::chrono::milliseconds(arguments.lag_ms),
              std::chrono::milliseconds(arguments.crashed_listed_ms)),
        server_(http::startServer(context_, base::NodeAddress::parse(arguments.address), {},
                                  [this](http::Request request, http::ResponseWriterPtr writer) {
                                    handle(request, *writer);
                                  })),
        signals_(context_, SIGTERM, SIGINT),
        timer_(dispatcher_.createTimer([this] { poll(); })),
        churn_timer_(dispatcher_.createTimer([this] { drainNextWorker(); })),
        churn_interval_(std::chrono::milliseconds(arguments.churn_ms)),
        list_without_polling_(arguments.list_without_polling) {}

  void run() {
    signals_.async_wait([this](const boost::system::error_code& failure, int) {
      if (!failure) {
        context_.stop();
      }
    });
    if (list_without_polling_) {
      listAllAsReady();
    } else {
      poll();
    }
    context_.run();
  }

 private:
  /** Lists all workers as ready without polling, so that they need not exist. */
  void listAllAsReady() {
    for (std::size_t index = 0; index < list_.workers().size(); ++index) {
      list_.reportState(index, "ready", dispatcher_.now());
    }
    if (churn_interval_ > base::Duration::zero()) {
      churn_timer_->enable(churn_interval_);
    }
  }

  /** Lists one more worker as draining. */
  void drainNextWorker() {
    list_.reportState(drained_++ % list_.workers().size(), "draining", dispatcher_.now());
    churn_timer_->enable(churn_interval_);
  }

  void poll() {
    for (std::size_t index = 0; index < list_.workers().size(); ++index) {
      pollWorker(index);
    }
    timer_->enable(PollInterval);
  }

  void pollWorker(std::size_t index) {
    http::Request request;
    request.method = "GET";
    request.target = "/testbed/state";
    http::ExchangeOptions options;
    options.connect_timeout = std::chrono::seconds(1);
    options.response_timeout = std::chrono::seconds(1);
    client_->fetch(list_.workers()[index].address, std::move(request), options,
                   [this, index](const http::Response* response, http::ExchangeFailure) {
                     onPolled(index, response);
                   });
  }

  void onPolled(std::size_t index, const http::Response* response) {
    if (response == nullptr || response->status != 200) {
      list_.reportNoAnswer(index, dispatcher_.now());
      return;
    }
    try {
      const auto state = testbed::textField(testbed::parseObject(response->body), "state");
      list_.reportState(index, state, dispatcher_.now());
    } catch (const base::Error&) {
      list_.reportNoAnswer(index, dispatcher_.now());
    }
  }

  void handle(const http::Request& request, http::ResponseWriter& writer) {
    http::Response response;
    response.headers = {{"Content-Type", "application/json"}};
    const std::string_view path = http::targetPath(request.target);
    if (path == "/v1/workers") {
      response.body = list_.answer(dispatcher_.now());
    } else if (path == "/testbed/faults" && request.method == "POST") {
      response.body = orderFault(request.body, response.status);
    } else if (path == "/testbed/state" || path == "/readyz") {
      response.body = "{}";
    } else {
      response.status = 404;
    }
    writer.respond(std::move(response));
  }

  std::string orderFault(const std::string& body, std::uint16_t& status) {
    try {
      list_.setFault(testbed::parsePlatformFault(body));
    } catch (const base::Error&) {
      status = 400;
    }
    return "{}";
  }

  boost::asio::io_context context_{1};
  transport::AsioDispatcher dispatcher_;
  std::unique_ptr<http::Client> client_;
  testbed::PlatformList list_;
  std::unique_ptr<http::Server> server_;
  boost::asio::signal_set signals_;
  base::TimerPtr timer_;
  base::TimerPtr churn_timer_;
  base::Duration churn_interval_;
  std::size_t drained_ = 0;
  bool list_without_polling_;
};

}  // namespace

void addPlatformCommand(CLI::App& app) {
  auto arguments = std::make_shared<PlatformArguments>();
  CLI::App* command =
      app.add_subcommand("platform", "Run the fake platform, which serves a list of workers");
  command->add_option("--address", arguments->address, "IP:PORT to listen on")->required();
  command->add_option("--workers", arguments->workers_file, "JSON file that lists the workers")
      ->required();
  command->add_option("--lag-ms", arguments->lag_ms,
                      "Delay of the list in milliseconds (default 1000)");
  command->add_option(
      "--crashed-listed-ms", arguments->crashed_listed_ms,
      "Additional time that a worker without an answer stays listed in milliseconds "
      "(default 8000)");
  command->add_flag("--synthetic-workers", arguments->list_without_polling,
                    "List all workers as ready without polling them (default: poll)");
  command->add_option(
      "--churn-ms", arguments->churn_ms,
      "With --synthetic-workers: interval in milliseconds at which one more worker is listed "
      "as draining (default 0: never)");
  command->callback([arguments] { PlatformProcess(*arguments).run(); });
}

}  // namespace switchsaddle::testbed_commands
