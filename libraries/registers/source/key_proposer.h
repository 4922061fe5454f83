#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quorum_tally.h"
#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

/** One operation waiting for, or carried by, a batch. */
struct RegisterOperation {
  ChangeFunction function;
  RegisterCallback callback;
  base::TimePoint deadline;
  bool rewrite = false;
  /** Set once the callback has been handed its outcome. */
  bool ended = false;
  RegisterOutcome outcome;
};

/**
 * The operations of one proposer on one key. At most one batch is under way; a batch makes
 * attempts, each of a prepare and an accept round with a ballot of its own, until one succeeds or
 * every operation's deadline has passed. Owned by a QuorumProposer, which outlives it.
 */
class KeyProposer : public std::enable_shared_from_this<KeyProposer> {
 public:
  KeyProposer(QuorumProposer& proposer, std::string key);
  void enqueue(RegisterOperation operation);
  bool idle() const { return waiting_.empty() && batch_.empty(); }

 private:
  enum class Phase { Resting, Preparing, Accepting };

  /** A proposal of the present batch that acceptors may have accepted unknown to this proposer. */
  struct UnsettledProposal {
    wire::Ballot ballot;
    std::vector<RegisterOutcome> outcomes;
  };

  /** How an unsettled proposal relates to the value found by a prepare round. */
  enum class Descent { Included, Excluded, Unknown };

  void startBatch();
  void startAttempt();
  void broadcast(const wire::Message& request);
  void onAnswer(std::uint64_t round, const base::NodeAddress& from,
                const transport::CallResult& result);
  void onReply(const base::NodeAddress& from, const wire::RegisterReply& reply);
  void onStaleAcceptor(const base::NodeAddress& to);
  void onGranted(const wire::RegisterReply& reply);
  void onPrepared();
  /** Finds out whether an earlier attempt of the batch took effect after all. */
  void settleEarlierProposals();
  void adoptOutcomes(const UnsettledProposal& proposal);
  Descent descentOf(const wire::Ballot& ballot) const;
  bool applyFunctions();
  bool mustPropose(bool changed) const;
  void propose();
  std::vector<wire::Ballot> nextLineage() const;
  void failAttempt();
  void retryAfter(base::Duration delay);
  base::Duration backOff();
  void finishBatch();
  void failBatch();
  void endOperation(RegisterOperation& operation, const RegisterOutcome& outcome);
  void dropEnded();
  void onDeadline();
  void armDeadline();

  QuorumProposer& proposer_;
  std::string key_;
  std::deque<RegisterOperation> waiting_;
  std::vector<RegisterOperation> batch_;
  std::vector<UnsettledProposal> unsettled_;
  std::uint32_t failures_ = 0;
  base::TimerPtr retry_timer_;
  base::TimerPtr deadline_timer_;

  // The present attempt.
  Phase phase_ = Phase::Resting;
  /** Numbers the rounds, so that answers to an earlier one find themselves outdated. */
  std::uint64_t round_ = 0;
  wire::AcceptorSet set_;
  wire::Ballot ballot_;
  std::optional<QuorumTally> tally_;
  /** Counts only refused connections. */
  std::optional<QuorumTally> reachable_;
  bool set_changed_ = false;
  bool higher_promise_ = false;
  /** The newest accepted value that the prepare round found. */
  wire::RegisterReply newest_;
  /** Counts the acceptors that hold `newest_`. */
  std::optional<QuorumTally> newest_tally_;
  bool committed_ = false;
  /** Whether an earlier attempt's outcomes stand, so that no function runs again. */
  bool outcomes_settled_ = false;
  std::string value_;
};

}  // namespace switchsaddle::registers
