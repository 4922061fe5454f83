#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "commands.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/testbed/workers/fake_worker.h"
#include "switchsaddle/transport/asio_dispatcher.h"

namespace switchsaddle::testbed_commands {
namespace {

constexpr int CrashExitCode = 70;
/** How long a stopping worker shows itself as draining at least. */
constexpr base::Duration ShortestDrain = std::chrono::milliseconds(1'500);
constexpr base::Duration LongestDrain = std::chrono::seconds(30);
constexpr base::Duration IdleCheck = std::chrono::milliseconds(50);

/** The command line of `switchsaddle-testbed worker`. */
struct WorkerArguments {
  std::string address;
  std::string journal;
  int one_shot_ms = 20;
  int slow_start_ms = 5'000;
  testbed::WorkerOptions options;
};

/** Runs one worker until it is told to stop and its requests have ended. One thread. */
class WorkerProcess {
 public:
  explicit WorkerProcess(const WorkerArguments& arguments)
      : dispatcher_(context_),
        client_(http::createClient(context_)),
        events_(arguments.journal),
        worker_(arguments.options, dispatcher_, *client_, events_, [] { ::_exit(CrashExitCode); }),
        server_(http::startServer(context_, base::NodeAddress::parse(arguments.address), {},
                                  [this](http::Request request, http::ResponseWriterPtr writer) {
                                    worker_.handle(request, writer);
                                  })),
        signals_(context_, SIGTERM, SIGINT) {}

  void run() {
    signals_.async_wait([this](const boost::system::error_code& failure, int) {
      if (!failure) {
        drain();
      }
    });
    context_.run();
  }

 private:
  void drain() {
    worker_.drain();
    drain_started_ = dispatcher_.now();
    timer_ = dispatcher_.createTimer([this] { checkIdle(); });
    timer_->enable(ShortestDrain);
  }

  void checkIdle() {
    const base::Duration drained = dispatcher_.now() - drain_started_;
    if (worker_.idle() || drained > LongestDrain) {
      context_.stop();
      return;
    }
    timer_->enable(IdleCheck);
  }

  boost::asio::io_context context_{1};
  transport::AsioDispatcher dispatcher_;
  std::unique_ptr<http::Client> client_;
  testbed::FileEventSink events_;
  testbed::FakeWorker worker_;
  std::unique_ptr<http::Server> server_;
  boost::asio::signal_set signals_;
  base::TimePoint drain_started_{};
  base::TimerPtr timer_;
};

}  // namespace

void addWorkerCommand(CLI::App& app) {
  auto arguments = std::make_shared<WorkerArguments>();
  testbed::WorkerOptions& options = arguments->options;
  CLI::App* command = app.add_subcommand("worker", "Run one stand-in worker");
  command->add_option("--address", arguments->address, "IP:PORT to listen on")->required();
  command->add_option("--journal", arguments->journal, "File its runs are appended to")->required();
  command->add_option("--id", options.id, "Worker id")->required();
  command->add_option("--service", options.service, "Pool it belongs to")->required();
  command->add_option("--models", options.models, "Models it serves")->delimiter(',');
  command->add_option("--stage", options.stage, "both, prefill or decode")
      ->check(CLI::IsMember({"both", "prefill", "decode"}));
  command->add_option("--slots", options.slots, "Requests that run at once");
  command->add_option("--queue", options.queue_bound, "Requests that may wait");
  command->add_option("--cache-tokens", options.cache_tokens, "Capacity of the KV cache");
  command->add_option("--prefill-speed", options.speed.prefill_tokens_per_s, "Tokens a second");
  command->add_option("--decode-speed", options.speed.decode_tokens_per_s, "Tokens a second");
  command->add_option("--slowdown", options.speed.slowdown_per_running,
                      "Share by which each further request slows decoding");
  command->add_option("--cold-factor", options.speed.warm_up_factor, "Slowdown of a cold prefill");
  command->add_option("--cold-ms", arguments->slow_start_ms, "How long the process is cold");
  command->add_option("--one-shot-ms", arguments->one_shot_ms, "Time of work of a one-shot");
  command->add_option("--weights-version", options.weights_version, "Version of the weights");
  command->add_option("--seed", options.seed, "Seed of output lengths");
  command->callback([arguments] {
    arguments->options.speed.warm_up_period = std::chrono::milliseconds(arguments->slow_start_ms);
    arguments->options.one_shot_time = std::chrono::milliseconds(arguments->one_shot_ms);
    WorkerProcess(*arguments).run();
  });
}

}  // namespace switchsaddle::testbed_commands
