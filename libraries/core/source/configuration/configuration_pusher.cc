#include "switchsaddle/core/configuration/configuration_pusher.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::core {

namespace {

/** The record of a push is removed after this time, well above the longest backoff. */
constexpr base::Duration PushLifetime = std::chrono::seconds(10);

}  // namespace

void ConfigurationPusher::push(const std::vector<wire::SessionTableEntry>& sessions) {
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(pushes_,
                [&](const auto& item) { return now - item.second.pushed_at > PushLifetime; });
  // Most lagging fronts have the same version, and computing a delta iterates over the document.
  std::map<std::uint64_t, std::vector<base::NodeAddress>> fronts_by_version;
  for (const wire::SessionTableEntry& session : sessions) {
    const bool is_lagging =
        !session.record.closed && session.record.applied_version < replica_.version();
    if (is_lagging && startPush(session.record.front, now)) {
      fronts_by_version[session.record.applied_version].push_back(session.record.front);
    }
  }
  for (auto& [version, fronts] : fronts_by_version) {
    calls_.notifyAll(std::move(fronts), replica_.document().deltaSince(version));
  }
}

bool ConfigurationPusher::startPush(const base::NodeAddress& front, base::TimePoint now) {
  const auto last = pushes_.find(front);
  const bool is_repeated = last != pushes_.end() && last->second.version == replica_.version();
  if (is_repeated && now - last->second.pushed_at < last->second.backoff) {
    return false;
  }
  const base::Duration backoff = is_repeated
                                     ? std::min(2 * last->second.backoff, options_.maximum_backoff)
                                     : options_.initial_backoff;
  pushes_[front] = {replica_.version(), now, backoff};
  return true;
}

void ConfigurationPusher::pushDelta(const wire::ConfigurationDelta& delta,
                                    const std::vector<wire::SessionTableEntry>& sessions) {
  const base::TimePoint now = dispatcher_.now();
  std::vector<base::NodeAddress> fronts;
  for (const wire::SessionTableEntry& session : sessions) {
    pushes_[session.record.front] = {delta.to_version, now, options_.initial_backoff};
    fronts.push_back(session.record.front);
  }
  calls_.notifyAll(std::move(fronts), delta);
}

}  // namespace switchsaddle::core
