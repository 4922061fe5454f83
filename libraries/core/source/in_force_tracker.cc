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
      reading_timer_(dispatcher.createTimer([this] { startReading(); })) {}

void InForceTracker::wait(std::uint64_t version, base::TimePoint deadline, Callback callback) {
  const std::uint64_t number = next_wait_++;
  Wait& wait = waits_[number];
  wait.version = version;
  wait.first_reading = reading_number_ + 1;
  wait.callback = std::move(callback);
  wait.deadline = dispatcher_.createTimer([this, number] { finish(number); });
  wait.deadline->enable(std::max(base::Duration::zero(), deadline - dispatcher_.now()));
  pushToLocalSessions();
  if (!reading_) {
    startReading();
  }
}

void InForceTracker::pushToLocalSessions() {
  push(sessions_.localSessions());
}

void InForceTracker::pushCommitted(const wire::ConfigurationDelta& delta) {
  const base::TimePoint now = dispatcher_.now();
  for (const wire::SessionTableEntry& session : sessions_.localSessions()) {
    const bool lacks = !session.record.closed && session.record.applied_version < delta.to_version;
    if (lacks) {
      pushes_[session.record.front] = {delta.to_version, now};
      calls_.notify(session.record.front, delta);
    }
  }
}

void InForceTracker::startReading() {
  reading_timer_->disable();
  if (reading_ || waits_.empty()) {
    return;
  }
  reading_ = true;
  reading_began_ = dispatcher_.now();
  ++reading_number_;
  sessions_.readLive(
      [this, alive = std::weak_ptr(alive_)](base::ResultCode code, const auto& sessions) {
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
  std::map<std::uint64_t, wire::ConfigurationDelta> deltas;
  std::erase_if(pushes_,
                [&](const auto& item) { return now - item.second.at > std::chrono::seconds(10); });
  for (const wire::SessionTableEntry& session : sessions) {
    const bool lacks =
        !session.record.closed && session.record.applied_version < replica_.version();
    if (!lacks) {
      continue;
    }
    const auto pushed = pushes_.find(session.record.front);
    const bool just_pushed = pushed != pushes_.end() &&
                             pushed->second.version == replica_.version() &&
                             now - pushed->second.at < options_.push_pause;
    if (just_pushed) {
      continue;
    }
    pushes_[session.record.front] = {replica_.version(), now};
    const auto [delta, is_new] = deltas.try_emplace(session.record.applied_version);
    if (is_new) {
      delta->second = replica_.document().deltaSince(session.record.applied_version);
    }
    calls_.notify(session.record.front, delta->second);
  }
}

bool InForceTracker::see(Wait& wait, const std::vector<wire::SessionTableEntry>& sessions) {
  InForceOutcome& seen = wait.seen;
  ++seen.readings;
  seen.behind = 0;
  seen.first_behind = {};
  for (const wire::SessionTableEntry& session : sessions) {
    const bool behind = !session.record.closed && session.record.applied_version < wait.version;
    if (behind && seen.behind++ == 0) {
      seen.first_behind = session.record.front;
    }
  }
  seen.in_force = seen.behind == 0;
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
