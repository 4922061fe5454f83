#include "switchsaddle/lease/lease_holder.h"

#include <algorithm>
#include <utility>

#include "lease_round.h"

namespace switchsaddle::lease {

LeaseHolder::LeaseHolder(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                         base::RandomSource& random, LeaseTimes times, std::string name,
                         GranterSet& granters, std::uint64_t instance, LeaseHolderFaults faults)
    : dispatcher_(dispatcher),
      calls_(calls),
      random_(random),
      times_(times),
      name_(std::move(name)),
      granters_(granters),
      instance_(instance),
      faults_(faults) {
  next_round_timer_ = dispatcher_.createTimer([this] { startNextRound(); });
  round_timer_ = dispatcher_.createTimer([this] { onRoundEnded(); });
  expiry_timer_ = dispatcher_.createTimer([this] { onExpired(); });
}

LeaseHolder::~LeaseHolder() = default;

void LeaseHolder::start() {
  running_ = true;
  next_round_timer_->enable(drawBackoff());
}

void LeaseHolder::stop() {
  running_ = false;
  next_round_timer_->disable();
  round_timer_->disable();
  const std::uint64_t highest_used = round_ ? std::max(term_, round_->term()) : term_;
  round_.reset();
  endLease();
  if (highest_used != 0) {
    release(highest_used);
  }
}

bool LeaseHolder::held() const {
  return held_until_ && dispatcher_.now() < *held_until_;
}

base::Duration LeaseHolder::usableDuration() const {
  const double usable_fraction = 1.0 - times_.drift_margin;
  const double usable = static_cast<double>(times_.duration.count()) * usable_fraction;
  return base::Duration(static_cast<base::Duration::rep>(usable));
}

base::Duration LeaseHolder::drawBackoff() {
  const auto bound = static_cast<std::uint64_t>(times_.maximum_back_off.count()) + 1;
  return base::Duration(static_cast<base::Duration::rep>(random_.below(bound)));
}

void LeaseHolder::startNextRound() {
  const bool renewal = held() && !std::exchange(term_contested_, false) && isCurrentEpoch(term_);
  if (!renewal && !granters_.mayCampaign()) {
    next_round_timer_->enable(times_.call_timeout + drawBackoff());
    return;
  }
  startRound(renewal ? term_ : nextTerm());
}

bool LeaseHolder::isCurrentEpoch(std::uint64_t term) const {
  return epochOfTerm(term) == granters_.setEpoch();
}

std::uint64_t LeaseHolder::nextTerm() const {
  // Granters with a higher epoch reject this term until this node has their set.
  const std::uint64_t lowest = granters_.setEpoch() << TermCountBits;
  return isCurrentEpoch(highest_term_seen_) ? highest_term_seen_ + 1 : lowest + 1;
}

void LeaseHolder::startRound(std::uint64_t term) {
  round_ = std::make_shared<LeaseRound>(term, dispatcher_.now());
  highest_term_seen_ = std::max(highest_term_seen_, term);
  round_timer_->enable(times_.call_timeout);
  wire::LeaseRequest request;
  request.name = name_;
  request.holder = calls_.localAddress();
  request.holder_instance = instance_;
  request.term = term;
  request.duration_ms = static_cast<std::uint32_t>(base::toMilliseconds(times_.duration));
  const std::vector<base::NodeAddress> granters = granters_.coreAddresses();
  round_->setRequestCount(granters.size());
  for (const base::NodeAddress& granter : granters) {
    calls_.call(
        granter, request, times_.call_timeout,
        callbacks_.guard([this, round = round_, granter](const transport::CallResult& result) {
          onAnswer(round, granter, result);
        }));
  }
}

void LeaseHolder::onAnswer(const RoundPtr& round, const base::NodeAddress& granter,
                           const transport::CallResult& result) {
  round->endRequest();
  if (const auto* reply = result.as<wire::LeaseReply>()) {
    round->addAnswer(granter);
    onReply(round, granter, *reply);
  }
  // A campaign that all granters have answered is lost for sure. Without answers from a majority
  // the round takes its full time, so that refused connections do not cause a tight loop.
  const bool is_lost = round == round_ && round->lost(granters_);
  if (is_lost && !held()) {
    round_timer_->disable();
    onRoundEnded();
  }
}

void LeaseHolder::onReply(const RoundPtr& round, const base::NodeAddress& granter,
                          const wire::LeaseReply& reply) {
  highest_term_seen_ = std::max(highest_term_seen_, reply.term);
  if (round != round_ || (round->won() && reply.granted)) {
    return;
  }
  if (!reply.granted) {
    round->addRejection(granter, reply);
    term_contested_ = term_contested_ || round->isContested(reply, calls_.localAddress());
    return;
  }
  round->addGrant(granter);
  if (isCurrentEpoch(round->term()) && round->grantedByQuorum(granters_)) {
    onGrantedByMajority(round);
  }
}

void LeaseHolder::onGrantedByMajority(const RoundPtr& round) {
  round->markWon();
  round_timer_->disable();
  const base::TimePoint now = dispatcher_.now();
  const base::TimePoint from = faults_.count_from_receipt ? now : round->requestedAt();
  const base::TimePoint until = from + usableDuration();
  if (now >= until) {
    onRoundEnded();
    return;
  }
  if (gain_reported_ && !held()) {
    // Granted again after a gap: the listener must receive the loss first.
    endLease();
  }
  const bool term_raised = term_ != round->term();
  term_ = round->term();
  held_until_ = until;
  expiry_timer_->enable(until - now);
  next_round_timer_->enable(times_.duration / 3);
  const bool gained = !std::exchange(gain_reported_, true);
  if ((gained || term_raised) && listener_) {
    listener_(true);
  }
}

void LeaseHolder::onRoundEnded() {
  const RoundPtr round = std::exchange(round_, nullptr);
  if (!running_ || !round) {
    return;
  }
  if (held()) {
    next_round_timer_->enable(base::Duration::zero());
    return;
  }
  // Releases the grants of the failed campaign, so that a rival need not wait until they expire.
  releaseGrants(*round);
  next_round_timer_->enable(round->rivalRemaining(granters_) + drawBackoff());
}

void LeaseHolder::onExpired() {
  if (!held()) {
    endLease();
  }
}

void LeaseHolder::endLease() {
  held_until_.reset();
  expiry_timer_->disable();
  if (std::exchange(gain_reported_, false) && listener_) {
    listener_(false);
  }
}

void LeaseHolder::release(std::uint64_t term) {
  for (const base::NodeAddress& granter : granters_.coreAddresses()) {
    calls_.notify(granter, wire::LeaseRelease{name_, instance_, term});
  }
}

void LeaseHolder::releaseGrants(const LeaseRound& round) {
  for (const base::NodeAddress& granter : granters_.coreAddresses()) {
    if (round.mayHaveGranted(granter)) {
      calls_.notify(granter, wire::LeaseRelease{name_, instance_, round.term()});
    }
  }
}

}  // namespace switchsaddle::lease
