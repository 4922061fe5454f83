#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "operation_batch.h"
#include "quorum_tally.h"
#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

/**
 * Runs the operations of one proposer on one key. At most one batch is in progress. It makes
 * attempts until one succeeds or the deadline of every operation has passed; each attempt has a
 * prepare round, an accept round and its own ballot. Owned by a QuorumProposer, which outlives it.
 * Runs on the proposer's strand.
 */
class KeyProposer : public std::enable_shared_from_this<KeyProposer> {
 public:
  KeyProposer(QuorumProposer& proposer, std::string key);
  void enqueue(RegisterOperation operation);
  bool idle() const { return queue_.empty() && batch_.empty(); }

 private:
  enum class Phase : std::uint8_t {
    /** No request is in flight: no batch, or a pause before the next attempt. */
    Idle,
    Preparing,
    Accepting,
  };

  // The batch.
  void startBatch();
  void endBatch();
  void onDeadline();

  // Attempts.
  void startAttempt();
  void scheduleAttempt(base::Duration delay);
  void failAttempt();
  base::Duration drawBackoff();

  // The rounds of an attempt.
  void broadcast(const wire::Message& request);
  void onAnswer(std::uint64_t round, const base::NodeAddress& from,
                const transport::CallResult& result);
  void onReply(const base::NodeAddress& from, const wire::RegisterReply& reply);
  void onGranted(const base::NodeAddress& from, const wire::RegisterReply& reply);
  void onPrepared();
  void propose();
  /** Sends the acceptor set of this attempt to an acceptor that has an older one. */
  void updateAcceptor(const base::NodeAddress& to);

  QuorumProposer& proposer_;
  std::string key_;
  std::deque<RegisterOperation> queue_;
  OperationBatch batch_;
  /** Failed attempts of the current batch. */
  std::uint32_t failures_ = 0;
  base::TimerPtr attempt_timer_;
  base::TimerPtr deadline_timer_;

  // The current attempt.
  Phase phase_ = Phase::Idle;
  /** Numbers the rounds, so that late answers to an earlier one are ignored. */
  std::uint64_t round_ = 0;
  wire::AcceptorSet set_;
  wire::Ballot ballot_;
  std::optional<QuorumTally> tally_;
  /** Counts only refused connections as failures. */
  std::optional<QuorumTally> reachable_;
  /** Whether an acceptor answered that it has a newer set. */
  bool set_changed_ = false;
  /** The answer with the newest accepted value in the prepare round. */
  wire::RegisterReply newest_;
  /** Counts the acceptors that have accepted the value of `newest_`. */
  std::optional<QuorumTally> newest_tally_;
  /** The value to propose. */
  std::string value_;
};

}  // namespace switchsaddle::registers
