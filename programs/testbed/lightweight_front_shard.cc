#include "lightweight_front_shard.h"

#include <algorithm>
#include <limits>

namespace switchsaddle::testbed_commands {

namespace {

constexpr base::Duration SampleInterval = std::chrono::seconds(1);

}  // namespace

LightweightFrontShard::LightweightFrontShard(const ShardOptions& options)
    : options_(options),
      dispatcher_(context_),
      timer_(dispatcher_.createTimer([this] { onSecond(); })) {}

LightweightFrontShard::~LightweightFrontShard() {
  stop();
}

void LightweightFrontShard::addFront(const configuration::Settings& settings, std::uint64_t seed) {
  Member member;
  member.tcp =
      std::make_unique<transport::TcpTransport>(context_, dispatcher_, settings.peer_address);
  member.counting = std::make_unique<lightweight_fronts::CountingTransport>(
      *member.tcp, sent_, received_, options_.measure_sizes);
  member.front = std::make_unique<lightweight_fronts::LightweightFront>(
      dispatcher_, *member.counting, seed, settings,
      [this](std::uint64_t before, std::uint64_t after) {
        tally_.applied(before, after, dispatcher_.now());
      },
      lightweight_fronts::LightweightFrontOptions{options_.acquire_slots});
  members_.push_back(std::move(member));
}

void LightweightFrontShard::start() {
  dispatcher_.post([this] {
    timer_->enable(SampleInterval);
    for (Member& member : members_) {
      member.front->start();
    }
  });
  thread_ = std::thread([this] { context_.run(); });
}

void LightweightFrontShard::stop() {
  if (thread_.joinable()) {
    context_.stop();
    thread_.join();
  }
}

ShardSample LightweightFrontShard::sample() const {
  const std::lock_guard lock(mutex_);
  return sample_;
}

void LightweightFrontShard::onSecond() {
  timer_->enable(SampleInterval);
  ShardSample sample;
  sample.lowest_version = std::numeric_limits<std::uint64_t>::max();
  sample.applications = tally_.applications();
  for (Member& member : members_) {
    if (options_.prompts_per_second > 0) {
      member.front->placePrompts(options_.prompts_per_second);
    }
    const transport::TcpTransportCounters& counters = member.tcp->counters();
    const std::uint64_t version = member.front->node().replica().version();
    sample.serving += member.front->serving() ? 1 : 0;
    sample.lowest_version = std::min(sample.lowest_version, version);
    sample.highest_version = std::max(sample.highest_version, version);
    sample.bytes_sent += counters.bytes_sent;
    sample.bytes_received += counters.bytes_received;
    sample.frames_sent += counters.frames_sent;
    sample.frames_received += counters.frames_received;
    sample.slots_granted += member.front->slotsGranted();
    sample.slots_refused += member.front->slotsRejected();
  }
  const std::lock_guard lock(mutex_);
  sample_ = sample;
}

}  // namespace switchsaddle::testbed_commands
