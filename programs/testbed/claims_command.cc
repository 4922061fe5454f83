#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "switchsaddle/claims/peer_claim_client.h"
#include "switchsaddle/transport/asio_dispatcher.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle::testbed_commands {
namespace {

/** The command line of `switchsaddle-testbed claims`. */
struct ClaimsArguments {
  std::vector<std::string> cores;
  std::string address;
  std::string prefix = "claim";
  int rate = 100;
  int seconds = 10;
  std::size_t answer_bytes = 300;
};

/** Begins and finishes claims at a constant rate and measures the latency of each request. Runs on
 * one thread. */
class ClaimLoad {
 public:
  explicit ClaimLoad(const ClaimsArguments& arguments)
      : arguments_(arguments),
        dispatcher_(context_),
        transport_(context_, dispatcher_, base::NodeAddress::parse(arguments.address)),
        calls_(dispatcher_, transport_),
        timer_(dispatcher_.createTimer([this] { tick(); })) {
    for (const std::string& core : arguments.cores) {
      const auto address = base::NodeAddress::parse(core);
      clients_.push_back(std::make_unique<claims::PeerClaimClient>(
          dispatcher_, calls_, [address] { return std::vector<base::NodeAddress>{address}; }));
    }
  }

  void run() {
    start_ = dispatcher_.now();
    timer_->enable(base::Duration::zero());
    context_.run();
    report();
  }

 private:
  static constexpr base::Duration TickInterval = std::chrono::milliseconds(5);
  static constexpr base::Duration AnswerWaitTime = std::chrono::seconds(3);

  void tick() {
    const base::Duration elapsed = dispatcher_.now() - start_;
    const base::Duration complete = std::chrono::seconds(arguments_.seconds);
    if (elapsed > complete + AnswerWaitTime) {
      context_.stop();
      return;
    }
    const double seconds = std::chrono::duration<double>(std::min(elapsed, complete)).count();
    while (begun_ < static_cast<std::uint64_t>(seconds * arguments_.rate)) {
      begin(begun_++);
    }
    timer_->enable(TickInterval);
  }

  void begin(std::uint64_t number) {
    wire::ClaimBegin request;
    request.tenant = "tenant";
    request.idempotency_key = arguments_.prefix + "-" + std::to_string(number);
    request.fingerprint = number;
    request.run = "run-" + std::to_string(number);
    claims::ClaimClient& client = *clients_[number % clients_.size()];
    const base::TimePoint requested_at = dispatcher_.now();
    client.begin(request, [this, request, requested_at, &client](const wire::ClaimReply& reply) {
      note(begin_ms_, requested_at, reply);
      if (reply.recorded) {
        finish(request, client);
      }
    });
  }

  void finish(const wire::ClaimBegin& begun, claims::ClaimClient& client) {
    wire::ClaimFinish request;
    request.tenant = begun.tenant;
    request.idempotency_key = begun.idempotency_key;
    request.run = begun.run;
    request.state = wire::ClaimState::Ran;
    request.http_status = 200;
    request.answer.assign(arguments_.answer_bytes, 'x');
    const base::TimePoint requested_at = dispatcher_.now();
    client.finish(request, [this, requested_at](const wire::ClaimReply& reply) {
      note(finish_ms_, requested_at, reply);
    });
  }

  void note(std::vector<double>& times, base::TimePoint requested_at,
            const wire::ClaimReply& reply) {
    if (reply.recorded) {
      times.push_back(
          std::chrono::duration<double, std::milli>(dispatcher_.now() - requested_at).count());
    } else {
      ++failed_;
    }
  }

  static double quantile(std::vector<double>& times, double share) {
    if (times.empty()) {
      return 0;
    }
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
  }

  void report() {
    std::cout << "rate,begun,won,finished,failed,begin_p50_ms,begin_p95_ms,begin_p99_ms,"
                 "finish_p50_ms,finish_p95_ms,finish_p99_ms\n"
              << arguments_.rate << ',' << begun_ << ',' << begin_ms_.size() << ','
              << finish_ms_.size() << ',' << failed_;
    for (std::vector<double>* times : {&begin_ms_, &finish_ms_}) {
      for (const double share : {0.5, 0.95, 0.99}) {
        std::cout << ',' << quantile(*times, share);
      }
    }
    std::cout << '\n';
  }

  ClaimsArguments arguments_;
  boost::asio::io_context context_{1};
  transport::AsioDispatcher dispatcher_;
  transport::TcpTransport transport_;
  transport::PeerCalls calls_;
  std::vector<std::unique_ptr<claims::PeerClaimClient>> clients_;
  base::TimerPtr timer_;
  base::TimePoint start_;
  std::uint64_t begun_ = 0;
  std::uint64_t failed_ = 0;
  std::vector<double> begin_ms_;
  std::vector<double> finish_ms_;
};

}  // namespace

void addClaimsCommand(CLI::App& app) {
  auto arguments = std::make_shared<ClaimsArguments>();
  CLI::App* command = app.add_subcommand(
      "claims", "Begin and finish claims at a constant rate; print latencies as CSV");
  command->add_option("--cores", arguments->cores, "IP:PORT of the cores, used in rotation")
      ->delimiter(',')
      ->required();
  command->add_option("--address", arguments->address, "IP:PORT that requests are sent from")
      ->required();
  command->add_option("--prefix", arguments->prefix,
                      "Prefix of each idempotency key; must differ between runs (default claim)");
  command->add_option("--rate", arguments->rate, "Claims per second (default 100)");
  command->add_option("--seconds", arguments->seconds,
                      "Time in seconds during which claims are begun (default 10)");
  command->add_option("--answer-bytes", arguments->answer_bytes,
                      "Size of each recorded answer in bytes (default 300)");
  command->callback([arguments] { ClaimLoad(*arguments).run(); });
}

}  // namespace switchsaddle::testbed_commands
