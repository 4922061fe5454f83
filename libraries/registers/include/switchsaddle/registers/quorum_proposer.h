#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::registers {

class KeyProposer;

/** Limits and intervals of a proposer. */
struct ProposerOptions {
  /** Longest time of an operation; then it ends with NoQuorum. */
  base::Duration operation_deadline = std::chrono::seconds(2);
  /** Timeout of each request of a round. */
  base::Duration round_timeout = std::chrono::milliseconds(400);
  /** The backoff after a failed attempt is random, at most the minimum doubled for each failure,
   * and never above the maximum. */
  base::Duration minimum_back_off = std::chrono::milliseconds(4);
  base::Duration maximum_back_off = std::chrono::milliseconds(100);
  /** Maximum number of operations on one key that share one pair of rounds. */
  std::size_t batch_limit = 64;
  /** Number of votes for a quorum; a majority if zero. For tests only: quorums below a majority do
   * not intersect. */
  std::size_t test_quorum_size = 0;
};

/** Counters of a proposer since its construction. */
struct ProposerCounters {
  std::uint64_t attempts = 0;
  std::uint64_t failed_attempts = 0;
  std::uint64_t operations = 0;
  /** Batches that ended after the prepare round. */
  std::uint64_t reads_without_write = 0;
};

/**
 * Proposes changes of registers by a prepare and an accept round on the acceptor set of the local
 * acceptor. Operations on one key are queued; those in the queue share one pair of rounds, in which
 * their functions are applied one after the other.
 *
 * An accept round without a quorum of answers may still have chosen its value. A later attempt
 * detects this by the ballot in the lineage of the accepted value, so that no function takes effect
 * twice. If the lineage is too short to decide, the operation ends with NoQuorum.
 *
 * The proposer id in its ballots is drawn at random on construction, so that no ballot is used
 * twice. Callbacks run exactly once, on the dispatcher's strand, and not before the call that
 * started the operation has returned. Runs on one strand.
 */
class QuorumProposer : public RegisterProposer {
 public:
  QuorumProposer(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                 base::RandomSource& random, Acceptor& acceptor, ProposerOptions options = {});
  ~QuorumProposer() override;
  QuorumProposer(const QuorumProposer&) = delete;
  QuorumProposer& operator=(const QuorumProposer&) = delete;

  void change(const std::string& key, ChangeFunction function, RegisterCallback callback) override;
  void read(const std::string& key, RegisterCallback callback) override;
  /** Reads the value and proposes it again even if it is known to be chosen, so that every acceptor
   * that answers has it. For repair. */
  void rewrite(const std::string& key, RegisterCallback callback);

  const ProposerCounters& counters() const { return counters_; }

 private:
  friend class KeyProposer;

  void enqueue(const std::string& key, ChangeFunction function, RegisterCallback callback,
               bool rewrite);
  wire::Ballot nextBallot();
  /** Ensures that later ballots have a higher round than this one. */
  void observe(const wire::Ballot& ballot);
  void releaseIfIdle(const std::string& key);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  base::RandomSource& random_;
  Acceptor& acceptor_;
  ProposerOptions options_;
  ProposerCounters counters_;
  std::uint64_t proposer_id_;
  std::uint64_t last_round_ = 0;
  std::map<std::string, std::shared_ptr<KeyProposer>> keys_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::registers
