#include "key_proposer.h"

#include <algorithm>
#include <utility>

#include "acceptor_members.h"
#include "proposal_lineage.h"

namespace switchsaddle::registers {

namespace {

/** Maximum number of doublings of the backoff. */
constexpr std::uint32_t MaximumBackoffExponent = 6;

}  // namespace

KeyProposer::KeyProposer(QuorumProposer& proposer, std::string key)
    : proposer_(proposer),
      key_(std::move(key)),
      batch_(proposer.dispatcher_),
      attempt_timer_(proposer.dispatcher_.createTimer([this] { startAttempt(); })),
      deadline_timer_(proposer.dispatcher_.createTimer([this] { onDeadline(); })) {}

void KeyProposer::enqueue(RegisterOperation operation) {
  queue_.push_back(std::move(operation));
  if (batch_.empty()) {
    startBatch();
  }
}

void KeyProposer::startBatch() {
  while (!queue_.empty() && batch_.size() < proposer_.options_.batch_limit) {
    batch_.add(std::move(queue_.front()));
    queue_.pop_front();
  }
  failures_ = 0;
  // All operations have the same time limit, so the deadline of the oldest one comes first.
  const base::Duration remaining = batch_.firstDeadline() - proposer_.dispatcher_.now();
  deadline_timer_->enable(std::max(remaining, base::Duration::zero()));
  // The first attempt starts after the caller has returned, so that no callback runs from within
  // the call.
  scheduleAttempt(base::Duration::zero());
}

void KeyProposer::endBatch() {
  batch_.failAndClear();
  phase_ = Phase::Idle;
  ++round_;
  attempt_timer_->disable();
  deadline_timer_->disable();
  if (queue_.empty()) {
    proposer_.releaseIfIdle(key_);
    return;
  }
  startBatch();
}

void KeyProposer::onDeadline() {
  const base::TimePoint now = proposer_.dispatcher_.now();
  const std::optional<base::TimePoint> next_deadline = batch_.endOverdue(now);
  if (!next_deadline) {
    endBatch();
    return;
  }
  deadline_timer_->enable(*next_deadline - now);
}

void KeyProposer::scheduleAttempt(base::Duration delay) {
  phase_ = Phase::Idle;
  ++round_;
  attempt_timer_->enable(delay);
}

void KeyProposer::startAttempt() {
  ++proposer_.counters_.attempts;
  set_ = proposer_.acceptor_.acceptorSet();
  ballot_ = proposer_.nextBallot();
  newest_ = {};
  newest_tally_.emplace(set_, proposer_.options_.test_quorum_size);
  phase_ = Phase::Preparing;
  broadcast(wire::PrepareRequest{key_, ballot_, set_.epoch});
}

void KeyProposer::failAttempt() {
  ++proposer_.counters_.failed_attempts;
  const bool has_newer_set = set_changed_ && proposer_.acceptor_.acceptorSet().epoch > set_.epoch;
  scheduleAttempt(has_newer_set ? base::Duration::zero() : drawBackoff());
  ++failures_;
}

base::Duration KeyProposer::drawBackoff() {
  const std::uint32_t exponent = std::min(failures_, MaximumBackoffExponent);
  const base::Duration bound = std::min(proposer_.options_.minimum_back_off * (1U << exponent),
                                        proposer_.options_.maximum_back_off);
  const auto drawn = proposer_.random_.below(static_cast<std::uint64_t>(bound.count()) + 1);
  return base::Duration(static_cast<std::int64_t>(drawn));
}

void KeyProposer::broadcast(const wire::Message& request) {
  const std::uint64_t round = ++round_;
  tally_.emplace(set_, proposer_.options_.test_quorum_size);
  reachable_.emplace(set_);
  set_changed_ = false;
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
  if (round != round_ || phase_ == Phase::Idle) {
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
  if (tally_->reached() && phase_ == Phase::Preparing) {
    onPrepared();
  } else if (tally_->reached()) {
    batch_.succeed();
    endBatch();
  } else if (reachable_->impossible()) {
    endBatch();
  } else if (tally_->impossible()) {
    failAttempt();
  }
}

void KeyProposer::onReply(const base::NodeAddress& from, const wire::RegisterReply& reply) {
  if (reply.verdict == wire::RegisterVerdict::Granted) {
    tally_->grant(from, reply.instance);
    if (phase_ == Phase::Preparing) {
      onGranted(from, reply);
    }
    return;
  }
  tally_->fail(from);
  if (reply.verdict == wire::RegisterVerdict::OtherAcceptorSet) {
    set_changed_ = true;
    proposer_.acceptor_.installSet(reply.newer_set, [](bool) {});
  }
  const bool acceptor_lags =
      reply.verdict == wire::RegisterVerdict::Unavailable && reply.newer_set.epoch < set_.epoch;
  if (acceptor_lags) {
    updateAcceptor(from);
  }
}

void KeyProposer::onGranted(const base::NodeAddress& from, const wire::RegisterReply& reply) {
  if (reply.accepted > newest_.accepted) {
    newest_ = reply;
    newest_tally_.emplace(set_, proposer_.options_.test_quorum_size);
  }
  if (reply.accepted == newest_.accepted) {
    newest_tally_->grant(from, reply.instance);
  }
}

void KeyProposer::updateAcceptor(const base::NodeAddress& to) {
  proposer_.calls_.call(to, wire::AcceptorSetInstallRequest{set_}, proposer_.options_.round_timeout,
                        [](const transport::CallResult&) {});
}

void KeyProposer::onPrepared() {
  value_ = newest_.value;
  batch_.dropEnded();
  batch_.resolveProposals(newest_);
  if (batch_.empty()) {
    endBatch();
    return;
  }
  const bool chosen = newest_.accepted.isZero() || newest_tally_->reached();
  const bool changed = batch_.applyFunctions(value_);
  if (changed || !chosen || batch_.requiresProposal()) {
    propose();
    return;
  }
  ++proposer_.counters_.reads_without_write;
  batch_.succeed();
  endBatch();
}

void KeyProposer::propose() {
  batch_.recordProposal(ballot_);
  phase_ = Phase::Accepting;
  broadcast(wire::AcceptRequest{key_, ballot_, set_.epoch, value_, extendLineage(newest_)});
}

}  // namespace switchsaddle::registers
