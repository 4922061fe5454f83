#include "switchsaddle/sessions/quorum_session_client.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::sessions {

namespace {

/** How long a refusal counts, from the moment of asking. Below the cores' recovery pause. */
constexpr base::Duration RefusalLifetime = std::chrono::seconds(1);
/** A tick later than this means that the process was held up, so that its queue is to drain first.
 */
constexpr base::Duration LateTick = std::chrono::milliseconds(100);
constexpr base::Duration DrainPause = std::chrono::milliseconds(10);

}  // namespace

QuorumSessionClient::QuorumSessionClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                         base::RandomSource& random, SessionTimes times,
                                         std::vector<base::NodeAddress> seeds,
                                         FrontIdentity identity, SessionClientFaults faults)
    : dispatcher_(dispatcher),
      calls_(calls),
      random_(random),
      times_(times),
      seeds_(std::move(seeds)),
      identity_(std::move(identity)),
      faults_(faults),
      cores_(seeds_),
      core_index_(random.below(std::max<std::size_t>(1, seeds_.size()))) {
  tick_timer_ = dispatcher_.createTimer([this] { tick(); });
  close_timer_ = dispatcher_.createTimer([this] { finishClose(); });
}

void QuorumSessionClient::start() {
  next_tick_ = dispatcher_.now();
  tick();
}

void QuorumSessionClient::setSeeds(std::vector<base::NodeAddress> seeds) {
  seeds_ = std::move(seeds);
  if (!sessionValid() && !seeds_.empty()) {
    // The known cores may all have gone since; seeds are asked beside them.
    for (const base::NodeAddress& seed : seeds_) {
      if (std::find(cores_.begin(), cores_.end(), seed) == cores_.end()) {
        cores_.push_back(seed);
      }
    }
  }
}

void QuorumSessionClient::tick() {
  const base::TimePoint now = dispatcher_.now();
  const bool late = now > next_tick_ + LateTick;
  const base::Duration delay = late ? DrainPause : times_.renewal;
  next_tick_ = now + delay;
  tick_timer_->enable(delay);
  if (late) {
    refusals_.clear();
    return;
  }
  refused_in_a_row_ = 0;
  if (degraded()) {
    renewAtAllCores();
  } else {
    renew();
  }
}

void QuorumSessionClient::renew() {
  if (cores_.empty()) {
    return;
  }
  const base::NodeAddress& present = cores_[core_index_ % cores_.size()];
  const bool owes_answer = std::ranges::any_of(
      unanswered_, [&present](const auto& item) { return item.second.core == present; });
  if (!owes_answer) {
    ask();
  }
}

bool QuorumSessionClient::degraded() const {
  const base::TimePoint now = dispatcher_.now();
  const bool fresh = granted_until_ && now < *granted_until_ - times_.front_limit / 2;
  return !fresh && !refusals_.empty();
}

void QuorumSessionClient::renewAtAllCores() {
  const std::vector<base::NodeAddress> cores = cores_;
  for (const base::NodeAddress& core : cores) {
    sendRenewal(core);
  }
}

void QuorumSessionClient::ask() {
  if (!cores_.empty()) {
    sendRenewal(cores_[core_index_ % cores_.size()]);
  }
}

void QuorumSessionClient::sendRenewal(const base::NodeAddress& core) {
  const base::TimePoint requested_at = dispatcher_.now();
  wire::SessionRecord record{identity_.address, identity_.instance, ++sequence_, applied_version_,
                             applied_digest_,   identity_.zone,     closing_};
  if (record_source_) {
    record_source_(record);
  }
  base::TimerPtr response_timer = dispatcher_.createTimer([this, core] { onTimeout(core); });
  response_timer->enable(times_.core_timeout);
  unanswered_[sequence_] = {core, std::move(response_timer)};
  calls_.call(core, wire::SessionOpenRequest{record, members_digest_}, times_.front_limit,
              [this, alive = std::weak_ptr(alive_), core, requested_at,
               sequence = sequence_](const auto& result) {
                if (!alive.expired()) {
                  unanswered_.erase(sequence);
                  onReply(core, requested_at, result);
                }
              });
}

void QuorumSessionClient::onTimeout(const base::NodeAddress& core) {
  const bool was_current = passOver(core);
  if (was_current && !degraded() && tick_timer_->enabled()) {
    ask();
  }
}

void QuorumSessionClient::onReply(const base::NodeAddress& core, base::TimePoint requested_at,
                                  const transport::CallResult& result) {
  if (result.code == base::ResultCode::PeerUnreachable) {
    onRefused(core, requested_at);
    return;
  }
  const auto* reply = result.as<wire::SessionOpenReply>();
  if (reply == nullptr) {
    return;
  }
  refusals_.erase(core);
  endGrace();
  if (reply->granted) {
    onGranted(core, requested_at, *reply);
  }
}

bool QuorumSessionClient::passOver(const base::NodeAddress& core) {
  const bool is_current = !cores_.empty() && cores_[core_index_ % cores_.size()] == core;
  if (is_current) {
    core_index_ = (core_index_ + 1) % cores_.size();
  }
  return is_current;
}

void QuorumSessionClient::turnToAnotherCore() {
  if (cores_.size() > 1) {
    core_index_ = (core_index_ + 1 + random_.below(cores_.size() - 1)) % cores_.size();
  }
}

void QuorumSessionClient::onGranted(const base::NodeAddress& core, base::TimePoint requested_at,
                                    const wire::SessionOpenReply& reply) {
  const base::TimePoint now = dispatcher_.now();
  const base::TimePoint until =
      (faults_.count_from_receipt ? now : requested_at) + times_.front_limit;
  if (closing_) {
    if (reply.sequence >= closing_sequence_) {
      finishClose();
    }
    return;
  }
  if (now >= until) {
    return;
  }
  const bool continues = sessionValid();
  if (!continues) {
    chain_granted_at_ = now;
    required_version_.reset();
    if (faults_.version_of_first_grant) {
      required_version_ = reply.committed_version;
    }
    granted_until_ = until;
  } else {
    granted_until_ = std::max(*granted_until_, until);
    if (!required_version_ && requested_at >= chain_granted_at_) {
      required_version_ = reply.committed_version;
    }
  }
  learn(reply);
  if (grant_listener_) {
    grant_listener_(reply);
  }
  if (!continues) {
    ask();
  }
  if (listener_ && reply.committed_version > applied_version_) {
    listener_(reply.committed_version, core);
  }
}

void QuorumSessionClient::learn(const wire::SessionOpenReply& reply) {
  if (reply.core_addresses.empty()) {
    return;
  }
  members_digest_ = reply.members_digest;
  fronts_ = reply.front_addresses;
  if (reply.core_addresses == cores_) {
    return;
  }
  const base::NodeAddress present = cores_[core_index_ % cores_.size()];
  cores_ = reply.core_addresses;
  const auto found = std::find(cores_.begin(), cores_.end(), present);
  core_index_ = found == cores_.end() ? 0 : static_cast<std::size_t>(found - cores_.begin());
}

void QuorumSessionClient::onRefused(const base::NodeAddress& core, base::TimePoint requested_at) {
  // An answer that waited for this process says nothing about the present.
  if (dispatcher_.now() < requested_at + times_.core_timeout) {
    refusals_[core] = requested_at;
    updateGrace();
  }
  const bool was_current = passOver(core);
  if (was_current && !degraded() && ++refused_in_a_row_ < cores_.size()) {
    ask();
  }
}

void QuorumSessionClient::updateGrace() {
  std::vector<base::TimePoint> asked;
  for (const base::NodeAddress& core : cores_) {
    const auto refusal = refusals_.find(core);
    if (refusal != refusals_.end()) {
      asked.push_back(refusal->second);
    }
  }
  const std::size_t majority = cores_.size() / 2 + 1;
  if (asked.size() < majority) {
    return;
  }
  std::sort(asked.rbegin(), asked.rend());
  const base::TimePoint until = asked[majority - 1] + RefusalLifetime;
  const base::TimePoint now = dispatcher_.now();
  const bool unbroken = refusals_cover_until_ && now < *refusals_cover_until_;
  const bool may_begin = (sessionValid() || faults_.grace_after_gap) && inForce();
  if (newest_seen_ > applied_version_) {
    endGrace();
  } else if (unbroken || may_begin) {
    refusals_cover_until_ = until;
  }
}

void QuorumSessionClient::endGrace() {
  refusals_cover_until_.reset();
}

void QuorumSessionClient::noteNewerVersionSeen(std::uint64_t version) {
  newest_seen_ = std::max(newest_seen_, version);
  if (newest_seen_ > applied_version_ && !sessionValid()) {
    endGrace();
  }
}

bool QuorumSessionClient::sessionValid() const {
  return granted_until_ && dispatcher_.now() < *granted_until_;
}

bool QuorumSessionClient::inForce() const {
  return required_version_ && applied_version_ >= *required_version_;
}

SessionState QuorumSessionClient::state() const {
  if (closing_) {
    return SessionState::Lapsed;
  }
  if (faults_.ignore_lapse) {
    return SessionState::Serving;
  }
  if (sessionValid()) {
    return inForce() ? SessionState::Serving : SessionState::CatchingUp;
  }
  const base::TimePoint now = dispatcher_.now();
  const bool refused =
      refusals_cover_until_ && now < *refusals_cover_until_ && newest_seen_ <= applied_version_;
  const bool within_grace = granted_until_ && now < *granted_until_ + times_.core_refused_grace;
  return refused && within_grace ? SessionState::ServingWithoutCore : SessionState::Lapsed;
}

void QuorumSessionClient::setApplied(std::uint64_t version, std::uint64_t digest) {
  applied_version_ = version;
  applied_digest_ = digest;
  if (tick_timer_->enabled() && !closing_) {
    ask();
  }
}

void QuorumSessionClient::close(std::function<void()> closed) {
  closing_ = true;
  closing_sequence_ = sequence_ + 1;
  closed_ = std::move(closed);
  const base::TimePoint now = dispatcher_.now();
  const base::Duration left = sessionValid() ? *granted_until_ - now : base::Duration::zero();
  close_timer_->enable(left);
  if (left > base::Duration::zero()) {
    ask();
  }
}

void QuorumSessionClient::finishClose() {
  tick_timer_->disable();
  close_timer_->disable();
  if (const std::function<void()> closed = std::exchange(closed_, nullptr)) {
    closed();
  }
}

}  // namespace switchsaddle::sessions
