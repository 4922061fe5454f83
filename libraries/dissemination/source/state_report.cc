#include "switchsaddle/dissemination/state_report.h"

namespace switchsaddle::dissemination {

configuration::StateReport reportState(const base::NodeAddress& node,
                                       const journal::StateView& entries, base::TimePoint now) {
  configuration::StateReport report;
  report.node = node.toString();
  report.now_ms = base::toMilliseconds(now.time_since_epoch());
  for (const auto& [key, entry] : entries.entries()) {
    const std::int64_t since = base::toMilliseconds(now - entry.at);
    report.entries.push_back(
        {journal::subjectName(key.first), key.second, entry.value, entry.version, since});
  }
  return report;
}

}  // namespace switchsaddle::dissemination
