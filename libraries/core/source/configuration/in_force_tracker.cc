#include "switchsaddle/core/configuration/in_force_tracker.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::core {

InForceTracker::InForceTracker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                               sessions::SessionDirectory& sessions,
                               const dissemination::ConfigurationReplica& replica,
                               InForceOptions options)
    : dispatcher_(dispatcher),
      sessions_(sessions),
      replica_(replica),
      options_(options),
      pusher_(dispatcher, calls, replica, options.push),
      reading_timer_(dispatcher.createTimer([this] { startReadingIfDue(); })) {}

void InForceTracker::wait(std::uint64_t version, base::TimePoint deadline, Callback callback) {
  const std::uint64_t id = next_id_++;
  PendingVersion& pending = pending_[id];
  pending.version = version;
  pending.first_reading = reading_number_ + 1;
  pending.callback = std::move(callback);
  pending.deadline_timer = dispatcher_.createTimer([this, id] { finish(id); });
  pending.deadline_timer->enable(std::max(base::Duration::zero(), deadline - dispatcher_.now()));
  if (pending_.size() == 1) {
    last_reading_at_ = dispatcher_.now();
  }
  pushToLocalSessions();
  if (!reading_) {
    startReadingIfDue();
  }
}

void InForceTracker::pushToLocalSessions() {
  pusher_.push(sessions_.localLagging(replica_.version()));
}

void InForceTracker::pushCommitted(const wire::ConfigurationDelta& delta) {
  pusher_.pushDelta(delta, sessions_.localLagging(delta.to_version));
}

std::uint64_t InForceTracker::newestPending() const {
  std::uint64_t newest = 0;
  for (const auto& [id, pending] : pending_) {
    newest = std::max(newest, pending.version);
  }
  return newest;
}

std::uint64_t InForceTracker::oldestPending() const {
  std::uint64_t oldest = UINT64_MAX;
  for (const auto& [id, pending] : pending_) {
    oldest = std::min(oldest, pending.version);
  }
  return oldest;
}

bool InForceTracker::pushToLocalLagging() {
  const std::vector<wire::SessionTableEntry> lagging = sessions_.localLagging(newestPending());
  pusher_.push(lagging);
  const std::uint64_t oldest = oldestPending();
  return std::ranges::any_of(lagging, [oldest](const wire::SessionTableEntry& session) {
    return session.record.applied_version < oldest;
  });
}

void InForceTracker::startReadingIfDue() {
  reading_timer_->disable();
  if (reading_ || pending_.empty()) {
    return;
  }
  const bool read_recently =
      dispatcher_.now() - last_reading_at_ < options_.maximum_reading_interval;
  if (read_recently && pushToLocalLagging()) {
    reading_timer_->enable(options_.reading_interval);
  } else {
    startReading();
  }
}

void InForceTracker::startReading() {
  reading_ = true;
  reading_began_at_ = dispatcher_.now();
  last_reading_at_ = reading_began_at_;
  ++reading_number_;
  sessions_.readLagging(newestPending(),
                        callbacks_.guard([this](base::ResultCode code, const auto& sessions) {
                          onReading(code, sessions);
                        }));
}

void InForceTracker::onReading(base::ResultCode code,
                               const std::vector<wire::SessionTableEntry>& sessions) {
  reading_ = false;
  if (code == base::ResultCode::Ok) {
    applyReading(sessions);
  }
  if (!pending_.empty() && !reading_) {
    // A slow reading indicates busy cores, so the next one starts later.
    const base::Duration duration = dispatcher_.now() - reading_began_at_;
    reading_timer_->enable(std::clamp<base::Duration>(2 * duration, options_.reading_interval,
                                                      options_.maximum_reading_interval));
  }
}

void InForceTracker::applyReading(const std::vector<wire::SessionTableEntry>& sessions) {
  pusher_.push(sessions);
  std::vector<std::uint64_t> in_force;
  for (auto& [id, pending] : pending_) {
    if (pending.first_reading <= reading_number_ && updateOutcome(pending, sessions)) {
      in_force.push_back(id);
    }
  }
  for (const std::uint64_t id : in_force) {
    finish(id);
  }
}

bool InForceTracker::updateOutcome(PendingVersion& pending,
                                   const std::vector<wire::SessionTableEntry>& sessions) {
  InForceOutcome& outcome = pending.outcome;
  ++outcome.readings;
  outcome.lagging = 0;
  outcome.first_lagging = {};
  for (const wire::SessionTableEntry& session : sessions) {
    const bool is_lagging =
        !session.record.closed && session.record.applied_version < pending.version;
    if (is_lagging && outcome.lagging++ == 0) {
      outcome.first_lagging = session.record.front;
    }
  }
  outcome.in_force = outcome.lagging == 0;
  return outcome.in_force;
}

void InForceTracker::finish(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const PendingVersion finished = std::move(found->second);
  pending_.erase(found);
  finished.callback(finished.outcome);
}

}  // namespace switchsaddle::core
