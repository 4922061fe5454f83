#include "switchsaddle/dissemination/belief_report.h"

namespace switchsaddle::dissemination {

configuration::BeliefReport reportBeliefs(const base::NodeAddress& node,
                                          const journal::BeliefView& beliefs, base::TimePoint now) {
  configuration::BeliefReport report;
  report.node = node.toString();
  report.now_ms = base::toMilliseconds(now.time_since_epoch());
  for (const auto& [key, belief] : beliefs.beliefs()) {
    const std::int64_t since = base::toMilliseconds(now - belief.at);
    report.beliefs.push_back(
        {journal::subjectName(key.first), key.second, belief.value, belief.version, since});
  }
  return report;
}

}  // namespace switchsaddle::dissemination
