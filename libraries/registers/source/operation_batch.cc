#include "operation_batch.h"

#include <algorithm>
#include <utility>

#include "proposal_lineage.h"

namespace switchsaddle::registers {

void OperationBatch::dropEnded() {
  std::vector<RegisterOperation> remaining;
  for (std::size_t index = 0; index < operations_.size(); ++index) {
    if (!operations_[index].ended) {
      remaining.push_back(std::move(operations_[index]));
      continue;
    }
    // The outcomes of unresolved proposals keep the positions of their operations.
    const auto removed = static_cast<std::ptrdiff_t>(remaining.size());
    for (UnresolvedProposal& proposal : proposals_) {
      proposal.outcomes.erase(proposal.outcomes.begin() + removed);
    }
  }
  operations_ = std::move(remaining);
}

void OperationBatch::resolveProposals(const wire::RegisterReply& newest) {
  outcomes_final_ = false;
  bool unknown = false;
  for (const UnresolvedProposal& proposal : proposals_) {
    const Descent descent = descentFrom(proposal.ballot, newest);
    if (descent == Descent::Included) {
      for (std::size_t index = 0; index < operations_.size(); ++index) {
        operations_[index].outcome = proposal.outcomes[index];
      }
      outcomes_final_ = true;
      return;
    }
    unknown = unknown || descent == Descent::Unknown;
  }
  if (unknown) {
    for (RegisterOperation& operation : operations_) {
      end(operation, RegisterOutcome{});
    }
    dropEnded();
  }
}

bool OperationBatch::applyFunctions(std::string& value) {
  if (outcomes_final_) {
    return false;
  }
  bool changed = false;
  for (RegisterOperation& operation : operations_) {
    const std::optional<std::string> next = operation.function(value);
    if (next) {
      value = *next;
      changed = true;
    }
    operation.outcome = {base::ResultCode::Ok, value, next.has_value()};
  }
  return changed;
}

bool OperationBatch::requiresProposal() const {
  const bool rewrite = std::any_of(operations_.begin(), operations_.end(),
                                   [](const auto& operation) { return operation.rewrite; });
  // An earlier proposal that is not in the current value's lineage may remain on a minority of
  // acceptors. Without a newer proposal it could still be chosen later, and its operations would
  // then take effect twice.
  const bool must_supersede = !proposals_.empty() && !outcomes_final_;
  return rewrite || must_supersede;
}

void OperationBatch::recordProposal(const wire::Ballot& ballot) {
  if (outcomes_final_) {
    return;
  }
  UnresolvedProposal proposal;
  proposal.ballot = ballot;
  for (const RegisterOperation& operation : operations_) {
    proposal.outcomes.push_back(operation.outcome);
  }
  proposals_.push_back(std::move(proposal));
}

void OperationBatch::succeed() {
  for (RegisterOperation& operation : operations_) {
    end(operation, operation.outcome);
  }
}

void OperationBatch::failAndClear() {
  for (RegisterOperation& operation : operations_) {
    end(operation, RegisterOutcome{});
  }
  operations_.clear();
  proposals_.clear();
}

std::optional<base::TimePoint> OperationBatch::endOverdue(base::TimePoint now) {
  std::optional<base::TimePoint> next_deadline;
  for (RegisterOperation& operation : operations_) {
    if (!operation.ended && operation.deadline <= now) {
      end(operation, RegisterOutcome{});
    }
    if (!operation.ended) {
      next_deadline = std::min(next_deadline.value_or(operation.deadline), operation.deadline);
    }
  }
  return next_deadline;
}

void OperationBatch::end(RegisterOperation& operation, const RegisterOutcome& outcome) {
  if (operation.ended) {
    return;
  }
  operation.ended = true;
  dispatcher_.post([callback = std::move(operation.callback), outcome] { callback(outcome); });
}

}  // namespace switchsaddle::registers
