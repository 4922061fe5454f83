#include "switchsaddle/core/in_force_tracker.h"

#include <algorithm>
#include <map>
#include <utility>

namespace switchsaddle::core {

InForceTracker::InForceTracker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                               sessions::SessionDirectory& sessions,
                               const dissemination::ConfigurationReplica& replica,
                               InForceOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      sessions_(sessions),
      replica_(replica),
      options_(options),
      reading_timer_(dispatcher.createTimer([this] { poll(); })) {}

void InForceTracker::wait(std::uint64_t version, base::TimePoint deadline, Callback callback) {
  const std::uint64_t number = next_wait_++;
  Wait& wait = waits_[number];
  wait.version = version;
  wait.first_reading = reading_number_ + 1;
  wait.callback = std::move(callback);
  wait.deadline = dispatcher_.createTimer([this, number] { finish(number); });
  wait.deadline->enable(std::max(base::Duration::zero(), deadline - dispatcher_.now()));
  if (waits_.size() == 1) {
    last_reading_ = dispatcher_.now();
  }
  pushToLocalSessions();
  if (!reading_) {
    poll();
  }
}

void InForceTracker::pushToLocalSessions() {
  push(sessions_.localLagging(replica_.version()));
}

void InForceTracker::pushCommitted(const wire::ConfigurationDelta& delta) {
  const base::TimePoint now = dispatcher_.now();
  std::vector<base::NodeAddress> fronts;
  for (const wire::SessionTableEntry& session : sessions_.localLagging(delta.to_version)) {
    pushes_[session.record.front] = {delta.to_version, now, options_.push_pause};
    fronts.push_back(session.record.front);
  }
  calls_.notifyAll(std::move(fronts), delta);
}

std::uint64_t InForceTracker::newestAwaited() const {
  std::uint64_t newest = 0;
  for (const auto& [number, wait] : waits_) {
    newest = std::max(newest, wait.version);
  }
  return newest;
}

std::uint64_t InForceTracker::oldestAwaited() const {
  std::uint64_t oldest = UINT64_MAX;
  for (const auto& [number, wait] : waits_) {
    oldest = std::min(oldest, wait.version);
  }
  return oldest;
}

bool InForceTracker::localTableShowsLagging() {
  const std::vector<wire::SessionTableEntry> lagging = sessions_.localLagging(newestAwaited());
  push(lagging);
  const std::uint64_t oldest = oldestAwaited();
  return std::ranges::any_of(lagging, [oldest](const wire::SessionTableEntry& session) {
    return session.record.applied_version < oldest;
  });
}

void InForceTracker::poll() {
  reading_timer_->disable();
  if (reading_ || waits_.empty()) {
    return;
  }
  const bool read_lately = dispatcher_.now() - last_reading_ < options_.longest_pause;
  if (read_lately && localTableShowsLagging()) {
    reading_timer_->enable(options_.reading_pause);
  } else {
    startReading();
  }
}

void InForceTracker::startReading() {
  reading_ = true;
  reading_began_ = dispatcher_.now();
  last_reading_ = reading_began_;
  ++reading_number_;
  sessions_.readLagging(newestAwaited(), [this, alive = std::weak_ptr(alive_)](
                                             base::ResultCode code, const auto& sessions) {
    if (!alive.expired()) {
      onReading(code, sessions);
    }
  });
}

void InForceTracker::onReading(base::ResultCode code,
                               const std::vector<wire::SessionTableEntry>& sessions) {
  reading_ = false;
  if (code == base::ResultCode::Ok) {
    push(sessions);
    std::vector<std::uint64_t> done;
    for (auto& [number, wait] : waits_) {
      if (wait.first_reading <= reading_number_ && see(wait, sessions)) {
        done.push_back(number);
      }
    }
    for (const std::uint64_t number : done) {
      finish(number);
    }
  }
  if (!waits_.empty() && !reading_) {
    // A reading that takes long shows that the cores are busy: they are asked less often.
    const base::Duration took = dispatcher_.now() - reading_began_;
    reading_timer_->enable(
        std::clamp<base::Duration>(2 * took, options_.reading_pause, options_.longest_pause));
  }
}

void InForceTracker::push(const std::vector<wire::SessionTableEntry>& sessions) {
  const base::TimePoint now = dispatcher_.now();
  // Most fronts lack the same versions, and a delta costs a pass over the whole document.
  std::map<std::uint64_t, std::vector<base::NodeAddress>> fronts_by_version;
  std::erase_if(pushes_,
                [&](const auto& item) { return now - item.second.at > std::chrono::seconds(10); });
  for (const wire::SessionTableEntry& session : sessions) {
    const bool lacks =
        !session.record.closed && session.record.applied_version < replica_.version();
    if (!lacks) {
      continue;
    }
    const auto pushed = pushes_.find(session.record.front);
    const bool again = pushed != pushes_.end() && pushed->second.version == replica_.version();
    if (again && now - pushed->second.at < pushed->second.pause) {
      continue;
    }
    const base::Duration pause =
        again ? std::min(2 * pushed->second.pause, options_.longest_push_pause)
              : options_.push_pause;
    pushes_[session.record.front] = {replica_.version(), now, pause};
    fronts_by_version[session.record.applied_version].push_back(session.record.front);
  }
  for (auto& [version, fronts] : fronts_by_version) {
    calls_.notifyAll(std::move(fronts), replica_.document().deltaSince(version));
  }
}

bool InForceTracker::see(Wait& wait, const std::vector<wire::SessionTableEntry>& sessions) {
  InForceOutcome& seen = wait.seen;
  ++seen.readings;
  seen.lagging = 0;
  seen.first_lagging = {};
  for (const wire::SessionTableEntry& session : sessions) {
    const bool lagging = !session.record.closed && session.record.applied_version < wait.version;
    if (lagging && seen.lagging++ == 0) {
      seen.first_lagging = session.record.front;
    }
  }
  seen.in_force = seen.lagging == 0;
  return seen.in_force;
}

void InForceTracker::finish(std::uint64_t wait) {
  const auto found = waits_.find(wait);
  if (found == waits_.end()) {
    return;
  }
  const Wait finished = std::move(found->second);
  waits_.erase(found);
  finished.callback(finished.seen);
}

}  // namespace switchsaddle::core
