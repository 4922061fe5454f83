#include "switchsaddle/lease/lease_holder.h"

#include <algorithm>
#include <utility>

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
  action_timer_ = dispatcher_.createTimer([this] { act(); });
  round_timer_ = dispatcher_.createTimer([this] { onRoundEnded(); });
  expiry_timer_ = dispatcher_.createTimer([this] { onExpired(); });
}

void LeaseHolder::start() {
  running_ = true;
  action_timer_->enable(backOff());
}

void LeaseHolder::stop() {
  running_ = false;
  action_timer_->disable();
  round_timer_->disable();
  const std::uint64_t used = round_ ? std::max(term_, round_->term) : term_;
  round_.reset();
  lose();
  if (used != 0) {
    release(used);
  }
}

bool LeaseHolder::held() const {
  return held_until_ && dispatcher_.now() < *held_until_;
}

base::Duration LeaseHolder::holdTime() const {
  const double part = 1.0 - times_.drift_margin;
  const double held = static_cast<double>(times_.duration.count()) * part;
  return base::Duration(static_cast<base::Duration::rep>(held));
}

base::Duration LeaseHolder::backOff() {
  const auto bound = static_cast<std::uint64_t>(times_.maximum_back_off.count()) + 1;
  return base::Duration(static_cast<base::Duration::rep>(random_.below(bound)));
}

void LeaseHolder::act() {
  const bool renewal = held() && !std::exchange(contested_, false) && ofPresentEpoch(term_);
  if (!renewal && !granters_.mayCampaign()) {
    action_timer_->enable(times_.call_timeout + backOff());
    return;
  }
  startRound(renewal ? term_ : nextTerm());
}

bool LeaseHolder::ofPresentEpoch(std::uint64_t term) const {
  return epochOfTerm(term) == granters_.setEpoch();
}

std::uint64_t LeaseHolder::nextTerm() const {
  // Where a higher epoch was heard of, the granters refuse until this node knows their set.
  const std::uint64_t lowest = granters_.setEpoch() << TermCountBits;
  return ofPresentEpoch(highest_term_seen_) ? highest_term_seen_ + 1 : lowest + 1;
}

void LeaseHolder::startRound(std::uint64_t term) {
  round_ = std::make_shared<Round>();
  round_->term = term;
  round_->requested_at = dispatcher_.now();
  highest_term_seen_ = std::max(highest_term_seen_, term);
  round_timer_->enable(times_.call_timeout);
  wire::LeaseRequest request;
  request.name = name_;
  request.holder = calls_.localAddress();
  request.holder_instance = instance_;
  request.term = term;
  request.duration_ms = static_cast<std::uint32_t>(base::toMilliseconds(times_.duration));
  const std::vector<base::NodeAddress> asked = granters_.coreAddresses();
  round_->outstanding = asked.size();
  for (const base::NodeAddress& granter : asked) {
    calls_.call(granter, request, times_.call_timeout,
                [this, alive = std::weak_ptr(alive_), round = round_, granter](const auto& result) {
                  if (!alive.expired()) {
                    onAnswer(round, granter, result);
                  }
                });
  }
}

void LeaseHolder::onAnswer(const RoundPtr& round, const base::NodeAddress& granter,
                           const transport::CallResult& result) {
  --round->outstanding;
  if (const auto* reply = result.as<wire::LeaseReply>()) {
    round->answered_by.insert(granter);
    onReply(round, granter, *reply);
  }
  // A campaign that all have answered is lost for sure. Where no majority answered the round takes
  // its whole time, so that refused connections do not make for a tight loop.
  const bool is_over = round == round_ && !round->settled && round->outstanding == 0;
  const bool is_lost = is_over && granters_.quorum(round->answered_by);
  if (is_lost && !held()) {
    round_timer_->disable();
    onRoundEnded();
  }
}

void LeaseHolder::onReply(const RoundPtr& round, const base::NodeAddress& granter,
                          const wire::LeaseReply& reply) {
  highest_term_seen_ = std::max(highest_term_seen_, reply.term);
  if (round != round_ || (round->settled && reply.granted)) {
    return;
  }
  if (!reply.granted) {
    noteRefusal(*round, granter, reply);
    return;
  }
  round->granted_by.insert(granter);
  if (ofPresentEpoch(round->term) && granters_.quorum(round->granted_by)) {
    onMajority(round);
  }
}

void LeaseHolder::noteRefusal(Round& round, const base::NodeAddress& granter,
                              const wire::LeaseReply& reply) {
  const base::Duration left = std::chrono::milliseconds(reply.remaining_ms);
  if (left > base::Duration::zero()) {
    round.held_by[reply.holder].insert(granter);
  }
  round.held_elsewhere = std::max(round.held_elsewhere, left);
  contested_ = contested_ || isContested(round, reply);
}

base::Duration LeaseHolder::waitFor(const Round& round) const {
  const bool is_held =
      std::any_of(round.held_by.begin(), round.held_by.end(),
                  [this](const auto& item) { return granters_.quorum(item.second); });
  // Rivals whose campaigns split the granters give back what they got, so that the time left of
  // their grants means nothing.
  const bool is_split = !is_held && granters_.quorum(round.answered_by);
  return is_split ? base::Duration::zero() : round.held_elsewhere;
}

bool LeaseHolder::isContested(const Round& round, const wire::LeaseReply& reply) const {
  const bool of_another = !reply.holder.empty() && reply.holder != calls_.localAddress();
  const bool never_grants = reply.term > round.term || (reply.term == round.term && of_another);
  return never_grants && reply.remaining_ms == 0;
}

void LeaseHolder::onMajority(const RoundPtr& round) {
  round->settled = true;
  round_timer_->disable();
  const base::TimePoint now = dispatcher_.now();
  const base::TimePoint from = faults_.count_from_receipt ? now : round->requested_at;
  const base::TimePoint until = from + holdTime();
  if (now >= until) {
    onRoundEnded();
    return;
  }
  if (announced_ && !held()) {
    // Granted anew after a gap: the owner is to hear of the loss first.
    lose();
  }
  const bool raised = term_ != round->term;
  term_ = round->term;
  held_until_ = until;
  expiry_timer_->enable(until - now);
  action_timer_->enable(times_.duration / 3);
  const bool gained = !std::exchange(announced_, true);
  if ((gained || raised) && listener_) {
    listener_(true);
  }
}

void LeaseHolder::onRoundEnded() {
  const RoundPtr round = std::exchange(round_, nullptr);
  if (!running_ || !round) {
    return;
  }
  if (held()) {
    action_timer_->enable(base::Duration::zero());
    return;
  }
  // What was granted is given back, so that a rival need not wait for it to end.
  release(round->term);
  action_timer_->enable(waitFor(*round) + backOff());
}

void LeaseHolder::onExpired() {
  if (!held()) {
    lose();
  }
}

void LeaseHolder::lose() {
  held_until_.reset();
  expiry_timer_->disable();
  if (std::exchange(announced_, false) && listener_) {
    listener_(false);
  }
}

void LeaseHolder::release(std::uint64_t term) {
  wire::LeaseRelease message{name_, instance_, term};
  for (const base::NodeAddress& granter : granters_.coreAddresses()) {
    calls_.notify(granter, message);
  }
}

}  // namespace switchsaddle::lease
