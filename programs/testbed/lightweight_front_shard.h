#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "switchsaddle/lightweight_fronts/counting_transport.h"
#include "switchsaddle/lightweight_fronts/lightweight_front.h"
#include "switchsaddle/lightweight_fronts/version_tally.h"
#include "switchsaddle/transport/asio_dispatcher.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle::testbed_commands {

/** What the fronts of one shard have done up to now. */
struct ShardSample {
  std::size_t serving = 0;
  std::uint64_t lowest_version = 0;
  std::uint64_t highest_version = 0;
  std::uint64_t applications = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t slots_got = 0;
  std::uint64_t slots_refused = 0;
};

/** How the lightweight fronts of a process behave. */
struct ShardOptions {
  /** Made-up completions a second on each front. */
  std::size_t prompts_per_second = 0;
  bool weigh = false;
  /** Takes a slot from the limit ledgers for each completion. */
  bool acquire_slots = false;
};

/** Some of the process's lightweight fronts, on one thread with one strand. */
class LightweightFrontShard {
 public:
  explicit LightweightFrontShard(const ShardOptions& options);
  ~LightweightFrontShard();
  LightweightFrontShard(const LightweightFrontShard&) = delete;
  LightweightFrontShard& operator=(const LightweightFrontShard&) = delete;

  /** Before start() only. */
  void addFront(const configuration::Settings& settings, std::uint64_t seed);
  void start();
  /** Ends the thread. The results below may be read from then on. */
  void stop();
  /** The sample of the last full second. Callable from any thread. */
  ShardSample sample() const;

  const lightweight_fronts::VersionTally& tally() const { return tally_; }
  const lightweight_fronts::KindCounts& sent() const { return sent_; }
  const lightweight_fronts::KindCounts& received() const { return received_; }

 private:
  struct Member {
    std::unique_ptr<transport::TcpTransport> tcp;
    std::unique_ptr<lightweight_fronts::CountingTransport> counting;
    std::unique_ptr<lightweight_fronts::LightweightFront> front;
  };

  void onSecond();

  ShardOptions options_;
  boost::asio::io_context context_{1};
  transport::AsioDispatcher dispatcher_;
  lightweight_fronts::KindCounts sent_{};
  lightweight_fronts::KindCounts received_{};
  lightweight_fronts::VersionTally tally_;
  std::vector<Member> members_;
  base::TimerPtr timer_;
  mutable std::mutex mutex_;
  ShardSample sample_;
  std::thread thread_;
};

}  // namespace switchsaddle::testbed_commands
