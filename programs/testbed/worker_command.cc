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
/** Minimum time for which a stopping worker reports that it is draining. */
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

/** Runs one worker. After SIGTERM or SIGINT it drains and exits. Runs on one thread. */
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
  CLI::App* command = app.add_subcommand("worker", "Run one fake worker");
  command->add_option("--address", arguments->address, "IP:PORT to listen on")->required();
  command->add_option("--journal", arguments->journal, "Journal file that events are appended to")
      ->required();
  command->add_option("--id", options.id, "Id of the worker")->required();
  command->add_option("--service", options.service, "Pool that the worker belongs to")->required();
  command->add_option("--models", options.models, "Models that the worker serves (default: none)")
      ->delimiter(',');
  command
      ->add_option(
          "--stage", options.stage,
          "Stage of a stream that the worker serves: both, prefill or decode (default both)")
      ->check(CLI::IsMember({"both", "prefill", "decode"}));
  command->add_option("--slots", options.slots,
                      "Maximum number of concurrent requests (default 16)");
  command->add_option("--queue", options.queue_bound,
                      "Maximum number of queued requests (default 32)");
  command->add_option("--cache-tokens", options.cache_tokens,
                      "Capacity of the KV cache in tokens (default 200000)");
  command->add_option("--prefill-speed", options.speed.prefill_tokens_per_s,
                      "Prefill speed in tokens per second (default 8000)");
  command->add_option("--decode-speed", options.speed.decode_tokens_per_s,
                      "Decode speed of a single request in tokens per second (default 60)");
  command->add_option(
      "--slowdown", options.speed.slowdown_per_running,
      "Fraction by which each additional running request slows decoding (default 0.02)");
  command->add_option("--cold-factor", options.speed.warm_up_factor,
                      "Factor on the prefill time during warm-up (default 4)");
  command->add_option("--cold-ms", arguments->slow_start_ms,
                      "Warm-up time after the start in milliseconds (default 5000)");
  command->add_option("--one-shot-ms", arguments->one_shot_ms,
                      "Service time of a one-shot request in milliseconds (default 20)");
  command->add_option("--weights-version", options.weights_version,
                      "Version of the model weights (default 1)");
  command->add_option("--seed", options.seed, "Seed of the output lengths (default 1)");
  command->callback([arguments] {
    arguments->options.speed.warm_up_period = std::chrono::milliseconds(arguments->slow_start_ms);
    arguments->options.one_shot_time = std::chrono::milliseconds(arguments->one_shot_ms);
    WorkerProcess(*arguments).run();
  });
}

}  // namespace switchsaddle::testbed_commands
