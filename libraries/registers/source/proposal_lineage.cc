#include "proposal_lineage.h"

#include <algorithm>

namespace switchsaddle::registers {

namespace {

/** Maximum number of ballots in a lineage. */
constexpr std::size_t LineageLimit = 16;

}  // namespace

Descent descentFrom(const wire::Ballot& proposal, const wire::RegisterReply& accepted) {
  const std::vector<wire::Ballot>& lineage = accepted.lineage;
  const bool included = accepted.accepted == proposal ||
                        std::find(lineage.begin(), lineage.end(), proposal) != lineage.end();
  if (included) {
    return Descent::Included;
  }
  const bool complete = lineage.size() < LineageLimit;
  const bool reaches_back = !lineage.empty() && lineage.front() < proposal;
  return complete || reaches_back ? Descent::Excluded : Descent::Unknown;
}

std::vector<wire::Ballot> extendLineage(const wire::RegisterReply& accepted) {
  std::vector<wire::Ballot> lineage = accepted.lineage;
  if (!accepted.accepted.isZero()) {
    lineage.push_back(accepted.accepted);
  }
  if (lineage.size() > LineageLimit) {
    lineage.erase(lineage.begin());
  }
  return lineage;
}

}  // namespace switchsaddle::registers
