#include "switchsaddle/sessions/quorum_session_client.h"

#include <algorithm>
#include <utility>

#include "core_selection.h"
#include "grant_chain.h"
#include "refusal_grace.h"

namespace switchsaddle::sessions {

namespace {

/** If the renewal timer expires later than this, the process is taken to have been suspended. */
constexpr base::Duration SuspensionThreshold = std::chrono::milliseconds(100);
/** Pause after a suspension, in which the answers that queued up during it are handled. */
constexpr base::Duration PauseAfterSuspension = std::chrono::milliseconds(10);

}  // namespace

QuorumSessionClient::QuorumSessionClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                         base::RandomSource& random, SessionTimes times,
                                         std::vector<base::NodeAddress> seeds,
                                         FrontIdentity identity, SessionClientFaults faults)
    : dispatcher_(dispatcher),
      calls_(calls),
      random_(random),
      times_(times),
      identity_(std::move(identity)),
      faults_(faults),
      grants_(std::make_unique<GrantChain>(faults.version_of_first_grant)),
      grace_(std::make_unique<RefusalGrace>()),
      renewal_timer_(dispatcher.createTimer([this] { onRenewalTimer(); })),
      close_timer_(dispatcher.createTimer([this] { finishClose(); })) {
  const std::uint64_t first = random.below(std::max<std::size_t>(1, seeds.size()));
  cores_ = std::make_unique<CoreSelection>(std::move(seeds), first);
}

QuorumSessionClient::~QuorumSessionClient() = default;

void QuorumSessionClient::start() {
  next_renewal_ = dispatcher_.now();
  onRenewalTimer();
}

void QuorumSessionClient::setSeeds(const std::vector<base::NodeAddress>& seeds) {
  if (!sessionValid()) {
    cores_->add(seeds);
  }
}

const std::vector<base::NodeAddress>& QuorumSessionClient::coreAddresses() const {
  return cores_->addresses();
}

void QuorumSessionClient::onRenewalTimer() {
  const base::TimePoint now = dispatcher_.now();
  const bool was_suspended = now > next_renewal_ + SuspensionThreshold;
  const base::Duration delay = was_suspended ? PauseAfterSuspension : times_.renewal;
  next_renewal_ = now + delay;
  renewal_timer_->enable(delay);
  if (was_suspended) {
    grace_->clearRefusals();
    return;
  }
  consecutive_refusals_ = 0;
  if (renewsAtAllCores()) {
    renewAtAllCores();
    return;
  }
  // A core that answers slowly must not receive additional requests.
  const base::NodeAddress* current = cores_->current();
  if (current != nullptr && !renewalPending(*current)) {
    renewAtCurrentCore();
  }
}

bool QuorumSessionClient::renewsAtAllCores() const {
  const std::optional<base::TimePoint>& expires_at = grants_->expiresAt();
  const bool fresh = expires_at && dispatcher_.now() < *expires_at - times_.front_limit / 2;
  return !fresh && grace_->hasRefusals();
}

bool QuorumSessionClient::renewalPending(const base::NodeAddress& core) const {
  return std::ranges::any_of(pending_renewals_,
                             [&core](const auto& item) { return item.second.core == core; });
}

void QuorumSessionClient::renewAtAllCores() {
  const std::vector<base::NodeAddress> cores = cores_->addresses();
  for (const base::NodeAddress& core : cores) {
    sendRenewal(core);
  }
}

void QuorumSessionClient::renewAtCurrentCore() {
  if (const base::NodeAddress* current = cores_->current()) {
    sendRenewal(base::NodeAddress(*current));
  }
}

void QuorumSessionClient::sendRenewal(const base::NodeAddress& core) {
  const base::TimePoint requested_at = dispatcher_.now();
  const std::uint64_t sequence = ++sequence_;
  wire::SessionRecord record{identity_.address, identity_.instance, sequence, applied_version_,
                             applied_digest_,   identity_.zone,     closing_};
  if (record_source_) {
    record_source_(record);
  }
  base::TimerPtr timeout_timer = dispatcher_.createTimer([this, core] { onTimeout(core); });
  timeout_timer->enable(times_.core_timeout);
  pending_renewals_[sequence] = {core, std::move(timeout_timer)};
  calls_.call(
      core, wire::SessionOpenRequest{record, members_digest_}, times_.front_limit,
      callbacks_.guard([this, core, requested_at, sequence](const transport::CallResult& result) {
        pending_renewals_.erase(sequence);
        onReply(core, requested_at, result);
      }));
}

void QuorumSessionClient::onTimeout(const base::NodeAddress& core) {
  const bool was_current = cores_->switchFrom(core);
  if (was_current && !renewsAtAllCores() && renewal_timer_->enabled()) {
    renewAtCurrentCore();
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
  grace_->removeRefusal(core);
  if (reply->granted) {
    onGranted(core, requested_at, *reply);
  }
}

void QuorumSessionClient::switchToAnotherCore() {
  cores_->switchAtRandom(random_);
}

void QuorumSessionClient::onGranted(const base::NodeAddress& core, base::TimePoint requested_at,
                                    const wire::SessionOpenReply& reply) {
  if (closing_) {
    if (reply.sequence >= closing_sequence_) {
      finishClose();
    }
    return;
  }
  ReceivedGrant grant;
  grant.requested_at = requested_at;
  grant.received_at = dispatcher_.now();
  grant.expires_at =
      (faults_.count_from_receipt ? grant.received_at : requested_at) + times_.front_limit;
  grant.committed_version = reply.committed_version;
  if (grant.received_at >= grant.expires_at) {
    return;
  }
  const bool began = grants_->add(grant);
  updateMembership(reply);
  if (grant_listener_) {
    grant_listener_(reply);
  }
  if (began) {
    renewAtCurrentCore();
  }
  if (committed_listener_ && reply.committed_version > applied_version_) {
    committed_listener_(reply.committed_version, core);
  }
}

void QuorumSessionClient::updateMembership(const wire::SessionOpenReply& reply) {
  if (reply.core_addresses.empty()) {
    return;
  }
  members_digest_ = reply.members_digest;
  fronts_ = reply.front_addresses;
  if (reply.core_addresses != cores_->addresses()) {
    cores_->replace(reply.core_addresses, random_);
  }
}

void QuorumSessionClient::onRefused(const base::NodeAddress& core, base::TimePoint requested_at) {
  // A refusal that was queued in this process for longer is outdated.
  if (dispatcher_.now() < requested_at + times_.core_timeout) {
    grace_->addRefusal(core, requested_at);
    updateGrace();
  }
  const bool was_current = cores_->switchFrom(core);
  const bool retries =
      was_current && !renewsAtAllCores() && ++consecutive_refusals_ < cores_->addresses().size();
  if (retries) {
    renewAtCurrentCore();
  }
}

void QuorumSessionClient::updateGrace() {
  const std::optional<base::TimePoint> until = grace_->majorityRefusesUntil(cores_->addresses());
  if (!until) {
    return;
  }
  if (newerVersionObserved()) {
    grace_->end();
    return;
  }
  const bool may_begin = (sessionValid() || faults_.grace_after_gap) && appliedVersionAllowed();
  if (grace_->covers(dispatcher_.now()) || may_begin) {
    grace_->coverUntil(*until);
  }
}

void QuorumSessionClient::observeNewerVersion(std::uint64_t version) {
  newest_observed_version_ = std::max(newest_observed_version_, version);
  if (newerVersionObserved() && !sessionValid()) {
    grace_->end();
  }
}

bool QuorumSessionClient::sessionValid() const {
  return grants_->valid(dispatcher_.now());
}

bool QuorumSessionClient::appliedVersionAllowed() const {
  return grants_->allowsVersion(applied_version_);
}

SessionState QuorumSessionClient::state() const {
  if (closing_) {
    return SessionState::Expired;
  }
  if (faults_.ignore_expiry) {
    return SessionState::Serving;
  }
  if (sessionValid()) {
    return appliedVersionAllowed() ? SessionState::Serving : SessionState::CatchingUp;
  }
  const base::TimePoint now = dispatcher_.now();
  const std::optional<base::TimePoint>& expired_at = grants_->expiresAt();
  const bool refused = grace_->covers(now) && !newerVersionObserved();
  const bool within_grace = expired_at && now < *expired_at + times_.core_refused_grace;
  return refused && within_grace ? SessionState::ServingWithoutCore : SessionState::Expired;
}

void QuorumSessionClient::setApplied(std::uint64_t version, std::uint64_t digest) {
  applied_version_ = version;
  applied_digest_ = digest;
  if (renewal_timer_->enabled() && !closing_) {
    renewAtCurrentCore();
  }
}

void QuorumSessionClient::close(std::function<void()> closed) {
  closing_ = true;
  closing_sequence_ = sequence_ + 1;
  closed_ = std::move(closed);
  const base::Duration remaining =
      sessionValid() ? *grants_->expiresAt() - dispatcher_.now() : base::Duration::zero();
  close_timer_->enable(remaining);
  if (remaining > base::Duration::zero()) {
    renewAtCurrentCore();
  }
}

void QuorumSessionClient::finishClose() {
  renewal_timer_->disable();
  close_timer_->disable();
  if (const std::function<void()> closed = std::exchange(closed_, nullptr)) {
    closed();
  }
}

}  // namespace switchsaddle::sessions
