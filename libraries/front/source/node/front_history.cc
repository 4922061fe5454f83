#include "switchsaddle/front/node/front_history.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "switchsaddle/sessions/address_digest.h"

namespace switchsaddle::front {

namespace {

/** A front remains in the history for this time after it was last listed; longer than any quota's
 * window.
 */
constexpr base::Duration Retention = std::chrono::seconds(15);

}  // namespace

FrontHistory::FrontHistory(base::Dispatcher& dispatcher, base::NodeAddress self)
    : dispatcher_(dispatcher), self_(std::move(self)), started_at_(dispatcher.now()) {}

void FrontHistory::update(const std::vector<base::NodeAddress>& listed) {
  const base::TimePoint now = dispatcher_.now();
  last_seen_[self_] = now;
  for (const base::NodeAddress& front : listed) {
    last_seen_[front] = now;
  }
  std::erase_if(last_seen_, [now](const auto& item) { return now - item.second > Retention; });
}

std::vector<base::NodeAddress> FrontHistory::recent() const {
  std::vector<base::NodeAddress> fronts;
  for (const auto& [front, seen_at] : last_seen_) {
    fronts.push_back(front);
  }
  return fronts;
}

wire::FleetKnowledge FrontHistory::fleetKnowledge() const {
  constexpr std::int64_t MaximumAgeMs = std::numeric_limits<std::uint32_t>::max();
  std::set<base::NodeAddress> fronts{self_};
  for (const auto& [front, seen_at] : last_seen_) {
    fronts.insert(front);
  }
  const std::int64_t age_ms = base::toMilliseconds(dispatcher_.now() - started_at_);
  return {static_cast<std::uint32_t>(std::min(age_ms, MaximumAgeMs)),
          sessions::digestOfFronts(fronts)};
}

}  // namespace switchsaddle::front
