#include "switchsaddle/core/telemetry/session_fronts.h"

#include <set>

namespace switchsaddle::core {

std::vector<base::NodeAddress> frontsWithSessions(const sessions::SessionTable& sessions) {
  std::set<base::NodeAddress> fronts;
  sessions.visitLocal(
      [&fronts](const wire::SessionRecord& record) { fronts.insert(record.front); });
  return {fronts.begin(), fronts.end()};
}

}  // namespace switchsaddle::core
