#include "key_proposer.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::registers {

namespace {

/** Ballots kept in a value's lineage. */
constexpr std::size_t LineageLimit = 16;
/** Doublings of the back-off after which it grows no more. */
constexpr std::uint32_t LargestBackOffExponent = 6;

}  // namespace

KeyProposer::KeyProposer(QuorumProposer& proposer, std::string key)
    : proposer_(proposer),
      key_(std::move(key)),
      retry_timer_(proposer.dispatcher_.createTimer([this] { startAttempt(); })),
      deadline_timer_(proposer.dispatcher_.createTimer([this] { onDeadline(); })) {}

void KeyProposer::enqueue(RegisterOperation operation) {
  waiting_.push_back(std::move(operation));
  if (batch_.empty()) {
    startBatch();
  }
}

void KeyProposer::startBatch() {
  while (!waiting_.empty() && batch_.size() < proposer_.options_.batch_limit) {
    batch_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  unsettled_.clear();
  failures_ = 0;
  armDeadline();
  // The first attempt starts after the caller returned, so that more operations may join the next
  // batch and no callback runs from within the call.
  retryAfter(base::Duration::zero());
}

void KeyProposer::armDeadline() {
  deadline_timer_->disable();
  if (!batch_.empty()) {
    // All operations have one relative deadline, so the batch's oldest is due first.
    const auto remaining = batch_.front().deadline - proposer_.dispatcher_.now();
    deadline_timer_->enable(std::max(remaining, base::Duration::zero()));
  }
}

void KeyProposer::retryAfter(base::Duration delay) {
  phase_ = Phase::Resting;
  ++round_;
  retry_timer_->enable(delay);
}

void KeyProposer::startAttempt() {
  ++proposer_.counters_.attempts;
  set_ = proposer_.acceptor_.acceptorSet();
  ballot_ = proposer_.nextBallot();
  newest_ = {};
  newest_tally_.emplace(set_, proposer_.options_.test_quorum_size);
  committed_ = false;
  outcomes_settled_ = false;
  phase_ = Phase::Preparing;
  broadcast(wire::PrepareRequest{key_, ballot_, set_.epoch});
}

void KeyProposer::broadcast(const wire::Message& request) {
  const std::uint64_t round = ++round_;
  tally_.emplace(set_, proposer_.options_.test_quorum_size);
  reachable_.emplace(set_);
  set_changed_ = false;
  higher_promise_ = false;
  if (set_.members.empty()) {
    failAttempt();
    return;
  }
  for (const base::NodeAddress& address : memberAddresses(set_)) {
    proposer_.calls_.call(
        address, request, proposer_.options_.round_timeout,
        [weak = weak_from_this(), round, address](const transport::CallResult& result) {
          if (const auto self = weak.lock()) {
            self->onAnswer(round, address, result);
          }
        });
  }
}

void KeyProposer::onAnswer(std::uint64_t round, const base::NodeAddress& from,
                           const transport::CallResult& result) {
  const auto* reply = result.as<wire::RegisterReply>();
  if (reply != nullptr) {
    proposer_.observe(reply->promised);
  }
  if (round != round_ || phase_ == Phase::Resting) {
    return;
  }
  if (reply != nullptr) {
    onReply(from, *reply);
  } else {
    tally_->fail(from);
  }
  if (result.code == base::ResultCode::PeerUnreachable) {
    reachable_->fail(from);
  }
  if (tally_->reached()) {
    phase_ == Phase::Preparing ? onPrepared() : finishBatch();
  } else if (reachable_->impossible()) {
    failBatch();
  } else if (tally_->impossible()) {
    failAttempt();
  }
}

void KeyProposer::onReply(const base::NodeAddress& from, const wire::RegisterReply& reply) {
  switch (reply.verdict) {
    case wire::RegisterVerdict::Granted:
      tally_->grant(from, reply.instance);
      if (phase_ == Phase::Preparing) {
        onGranted(reply);
        if (reply.accepted == newest_.accepted) {
          newest_tally_->grant(from, reply.instance);
        }
      }
      return;
    case wire::RegisterVerdict::Refused:
      higher_promise_ = true;
      break;
    case wire::RegisterVerdict::OtherAcceptorSet:
      set_changed_ = true;
      proposer_.acceptor_.installSet(reply.newer_set, [](bool) {});
      break;
    case wire::RegisterVerdict::Unavailable:
      if (reply.newer_set.epoch < set_.epoch) {
        onStaleAcceptor(from);
      }
      break;
  }
  tally_->fail(from);
}

void KeyProposer::onStaleAcceptor(const base::NodeAddress& to) {
  proposer_.calls_.call(to, wire::AcceptorSetInstallRequest{set_}, proposer_.options_.round_timeout,
                        [](const transport::CallResult&) {});
}

void KeyProposer::onGranted(const wire::RegisterReply& reply) {
  if (reply.accepted > newest_.accepted) {
    newest_ = reply;
    newest_tally_.emplace(set_, proposer_.options_.test_quorum_size);
  }
}

void KeyProposer::onPrepared() {
  committed_ = newest_.accepted.isZero() || newest_tally_->reached();
  value_ = newest_.value;
  dropEnded();
  settleEarlierProposals();
  if (batch_.empty()) {
    finishBatch();
    return;
  }
  const bool changed = outcomes_settled_ ? false : applyFunctions();
  if (mustPropose(changed)) {
    propose();
    return;
  }
  ++proposer_.counters_.reads_without_write;
  finishBatch();
}

bool KeyProposer::mustPropose(bool changed) const {
  const bool rewrite = std::any_of(batch_.begin(), batch_.end(),
                                   [](const auto& operation) { return operation.rewrite; });
  // A proposal excluded from the present value may linger on a minority of acceptors; only a newer
  // proposal keeps it from coming back after its operations were told that it had no effect.
  const bool must_bury = !unsettled_.empty() && !outcomes_settled_;
  return changed || !committed_ || must_bury || rewrite;
}

KeyProposer::Descent KeyProposer::descentOf(const wire::Ballot& ballot) const {
  const std::vector<wire::Ballot>& lineage = newest_.lineage;
  const bool included = newest_.accepted == ballot ||
                        std::find(lineage.begin(), lineage.end(), ballot) != lineage.end();
  if (included) {
    return Descent::Included;
  }
  // A lineage holds the newest ancestors in ascending order, without gaps.
  const bool complete = lineage.size() < LineageLimit;
  const bool reaches_back = !lineage.empty() && lineage.front() < ballot;
  return complete || reaches_back ? Descent::Excluded : Descent::Unknown;
}

void KeyProposer::settleEarlierProposals() {
  bool unknown = false;
  for (const UnsettledProposal& proposal : unsettled_) {
    const Descent descent = descentOf(proposal.ballot);
    if (descent == Descent::Included) {
      adoptOutcomes(proposal);
      return;
    }
    unknown = unknown || descent == Descent::Unknown;
  }
  if (unknown) {
    for (RegisterOperation& operation : batch_) {
      endOperation(operation, RegisterOutcome{});
    }
    dropEnded();
  }
}

void KeyProposer::adoptOutcomes(const UnsettledProposal& proposal) {
  for (std::size_t index = 0; index < batch_.size(); ++index) {
    batch_[index].outcome = proposal.outcomes[index];
  }
  outcomes_settled_ = true;
}

bool KeyProposer::applyFunctions() {
  bool changed = false;
  for (RegisterOperation& operation : batch_) {
    const std::optional<std::string> next = operation.function(value_);
    if (next) {
      value_ = *next;
      changed = true;
    }
    operation.outcome = {base::ResultCode::Ok, value_, next.has_value()};
  }
  return changed;
}

std::vector<wire::Ballot> KeyProposer::nextLineage() const {
  std::vector<wire::Ballot> lineage = newest_.lineage;
  if (!newest_.accepted.isZero()) {
    lineage.push_back(newest_.accepted);
  }
  if (lineage.size() > LineageLimit) {
    lineage.erase(lineage.begin());
  }
  return lineage;
}

void KeyProposer::propose() {
  UnsettledProposal proposal;
  proposal.ballot = ballot_;
  for (const RegisterOperation& operation : batch_) {
    proposal.outcomes.push_back(operation.outcome);
  }
  if (!outcomes_settled_) {
    unsettled_.push_back(std::move(proposal));
  }
  phase_ = Phase::Accepting;
  broadcast(wire::AcceptRequest{key_, ballot_, set_.epoch, value_, nextLineage()});
}

base::Duration KeyProposer::backOff() {
  const std::uint32_t exponent = std::min(failures_, LargestBackOffExponent);
  const base::Duration bound = std::min(proposer_.options_.minimum_back_off * (1U << exponent),
                                        proposer_.options_.maximum_back_off);
  const auto drawn = proposer_.random_.below(static_cast<std::uint64_t>(bound.count()) + 1);
  return base::Duration(static_cast<std::int64_t>(drawn));
}

void KeyProposer::failAttempt() {
  ++proposer_.counters_.failed_attempts;
  const bool at_once = set_changed_ && proposer_.acceptor_.acceptorSet().epoch > set_.epoch;
  retryAfter(at_once ? base::Duration::zero() : backOff());
  ++failures_;
}

void KeyProposer::dropEnded() {
  // The outcomes of unsettled proposals are held by position, so both shrink together.
  std::vector<RegisterOperation> remaining;
  for (std::size_t index = 0; index < batch_.size(); ++index) {
    if (!batch_[index].ended) {
      remaining.push_back(std::move(batch_[index]));
      continue;
    }
    const auto removed = static_cast<std::ptrdiff_t>(remaining.size());
    for (UnsettledProposal& proposal : unsettled_) {
      proposal.outcomes.erase(proposal.outcomes.begin() + removed);
    }
  }
  batch_ = std::move(remaining);
}

void KeyProposer::endOperation(RegisterOperation& operation, const RegisterOutcome& outcome) {
  if (operation.ended) {
    return;
  }
  operation.ended = true;
  proposer_.dispatcher_.post(
      [callback = std::move(operation.callback), outcome] { callback(outcome); });
}

void KeyProposer::finishBatch() {
  for (RegisterOperation& operation : batch_) {
    endOperation(operation, operation.outcome);
  }
  failBatch();
}

void KeyProposer::failBatch() {
  for (RegisterOperation& operation : batch_) {
    endOperation(operation, RegisterOutcome{});
  }
  batch_.clear();
  phase_ = Phase::Resting;
  ++round_;
  retry_timer_->disable();
  deadline_timer_->disable();
  if (waiting_.empty()) {
    proposer_.releaseIfIdle(key_);
    return;
  }
  startBatch();
}

void KeyProposer::onDeadline() {
  const base::TimePoint now = proposer_.dispatcher_.now();
  bool all_ended = true;
  base::TimePoint next_deadline = base::TimePoint::max();
  for (RegisterOperation& operation : batch_) {
    if (!operation.ended && operation.deadline <= now) {
      endOperation(operation, RegisterOutcome{});
    }
    if (!operation.ended) {
      all_ended = false;
      next_deadline = std::min(next_deadline, operation.deadline);
    }
  }
  if (all_ended) {
    failBatch();
    return;
  }
  deadline_timer_->enable(next_deadline - now);
}

}  // namespace switchsaddle::registers
