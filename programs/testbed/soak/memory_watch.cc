#include "soak/memory_watch.h"

#include <algorithm>

#include "switchsaddle/testbed/fleet/process_usage.h"

namespace switchsaddle::testbed_commands {

namespace {

constexpr std::size_t BytesPerMebibyte = 1U << 20U;
constexpr base::Duration SampleInterval = std::chrono::milliseconds(100);

std::string mebibytes(std::size_t bytes) {
  return std::to_string(bytes / BytesPerMebibyte) + " MiB";
}

}  // namespace

MemoryWatch::MemoryWatch(SoakFleet& fleet, std::size_t limit_bytes)
    : fleet_(fleet), limit_bytes_(limit_bytes) {
  thread_ = std::thread([this] {
    do {
      sample();
    } while (ended_.wait(SampleInterval));
  });
}

MemoryWatch::~MemoryWatch() {
  stop();
}

void MemoryWatch::stop() {
  ended_.raise();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void MemoryWatch::sample() {
  for (const testbed::FleetProcess& daemon : fleet_.daemons()) {
    const auto usage = testbed::usageOf(Fleet::identityOf(daemon));
    if (usage) {
      const std::lock_guard lock(mutex_);
      std::size_t& held = held_[daemon.name];
      held = std::max(held, usage->peak_memory_bytes + usage->unread_bytes);
    }
  }
}

std::vector<std::string> MemoryWatch::violations() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> lines;
  for (const auto& [name, bytes] : held_) {
    if (limit_bytes_ > 0 && bytes > limit_bytes_) {
      lines.push_back(name + " held " + mebibytes(bytes) + " of " + mebibytes(limit_bytes_));
    }
  }
  return lines;
}

std::string MemoryWatch::summary() const {
  const std::lock_guard lock(mutex_);
  std::size_t most = 0;
  for (const auto& [name, bytes] : held_) {
    most = std::max(most, bytes);
  }
  return "memory: most=" + mebibytes(most);
}

}  // namespace switchsaddle::testbed_commands
