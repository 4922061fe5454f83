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

/** Totals over the fronts of one shard since their start. */
struct ShardSample {
  std::size_t serving = 0;
  std::uint64_t lowest_version = 0;
  std::uint64_t highest_version = 0;
  std::uint64_t applications = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t slots_granted = 0;
  std::uint64_t slots_refused = 0;
};

/** Options of all lightweight fronts of a process. */
struct ShardOptions {
  /** Simulated completions per second and front. */
  std::size_t prompts_per_second = 0;
  bool measure_sizes = false;
  /** Whether each completion acquires a slot from the limit ledgers. */
  bool acquire_slots = false;
};

/** A subset of the lightweight fronts of a process, which shares one thread. */
class LightweightFrontShard {
 public:
  explicit LightweightFrontShard(const ShardOptions& options);
  ~LightweightFrontShard();
  LightweightFrontShard(const LightweightFrontShard&) = delete;
  LightweightFrontShard& operator=(const LightweightFrontShard&) = delete;

  /** Must be called before start(). */
  void addFront(const configuration::Settings& settings, std::uint64_t seed);
  void start();
  /** Ends the thread. tally(), sent() and received() may be read only afterwards. */
  void stop();
  /** The sample taken last, once a second. May be called from any thread. */
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
