#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

/** One operation on a register, queued or in a batch. */
struct RegisterOperation {
  ChangeFunction function;
  RegisterCallback callback;
  base::TimePoint deadline;
  /** Whether the value is proposed again even if it is known to be chosen. */
  bool rewrite = false;
  /** Set once the callback has been posted. */
  bool ended = false;
  RegisterOutcome outcome;
};

/**
 * The operations on one key that share one pair of rounds, and the proposals of earlier attempts
 * that acceptors may have accepted although their answers did not arrive. Such a proposal is
 * recognized by its ballot in the accepted value's lineage, so that no change function takes effect
 * twice. Callbacks are posted to the dispatcher, each exactly once. Runs on the proposer's strand.
 */
class OperationBatch {
 public:
  explicit OperationBatch(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  void add(RegisterOperation operation) { operations_.push_back(std::move(operation)); }
  bool empty() const { return operations_.empty(); }
  std::size_t size() const { return operations_.size(); }
  /** The deadline of the oldest operation; the batch must not be empty. */
  base::TimePoint firstDeadline() const { return operations_.front().deadline; }

  /** Drops the operations that have ended. */
  void dropEnded();
  /**
   * Determines from the newest accepted value whether an earlier proposal was chosen. If so, the
   * outcomes of that proposal are final. If this cannot be determined, every operation ends with
   * NoQuorum.
   */
  void resolveProposals(const wire::RegisterReply& newest);
  /**
   * Applies the change functions one after the other, unless the outcomes of an earlier proposal
   * are final.
   * @param value the current value; replaced by the value to propose.
   * @return whether any function changed it.
   */
  bool applyFunctions(std::string& value);
  /** Whether a proposal is needed even if the value is unchanged and known to be chosen. */
  bool requiresProposal() const;
  /** Records the outcomes that the operations have if a proposal with this ballot is chosen. */
  void recordProposal(const wire::Ballot& ballot);

  /** Ends every operation with the outcome computed by its change function. */
  void succeed();
  /** Ends all remaining operations with NoQuorum, and empties the batch. */
  void failAndClear();
  /**
   * Ends with NoQuorum the operations whose deadline has passed.
   * @return the next deadline, or std::nullopt if all operations have ended.
   */
  std::optional<base::TimePoint> endOverdue(base::TimePoint now);

 private:
  /** A proposal of this batch whose accept round was not answered by a quorum. */
  struct UnresolvedProposal {
    wire::Ballot ballot;
    /** In the order of the operations. */
    std::vector<RegisterOutcome> outcomes;
  };

  void end(RegisterOperation& operation, const RegisterOutcome& outcome);

  base::Dispatcher& dispatcher_;
  std::vector<RegisterOperation> operations_;
  std::vector<UnresolvedProposal> proposals_;
  /** Whether the outcomes of an earlier proposal are final, so that no function runs again. */
  bool outcomes_final_ = false;
};

}  // namespace switchsaddle::registers
