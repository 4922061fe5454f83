#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::core {

/**
 * Adds up what the fronts have under way at each worker, as their session records tell it, and says
 * to each front what all others have there. Every core hears all records, so that each adds up
 * alike, without a message of its own. A front that has ended, or is silent for the bound, counts
 * with nothing. Runs on the control strand.
 */
class LoadLedger {
 public:
  LoadLedger(base::Dispatcher& dispatcher, base::Duration unresponsive_timeout)
      : dispatcher_(dispatcher), unresponsive_timeout_(unresponsive_timeout) {}

  void update(const wire::SessionRecord& record);
  /** Most workers told of by themselves: what a front hears stays below the 5 KB a second that
   * control may take, however many workers there are. */
  static constexpr std::size_t MaximumReportedWorkers = 128;

  /** What the other fronts have under way, at the workers that have the most; the mean of the
   * others; and the kinds of work of all fronts. */
  wire::FleetLoad loadFor(const wire::SessionRecord& record);
  /** Requests of all fronts on the worker with this workers::loadKey(). */
  std::uint32_t requestsOn(std::uint32_t worker) const;

 private:
  using FrontKey = std::pair<base::NodeAddress, std::uint64_t>;
  struct Total {
    std::uint32_t requests = 0;
    std::uint32_t prefill_ms = 0;

    bool empty() const { return requests == 0 && prefill_ms == 0; }
  };
  struct Front {
    base::TimePoint last_seen;
    wire::FrontLoad load;
  };

  void add(const std::vector<wire::WorkerLoad>& loads);
  void subtract(const std::vector<wire::WorkerLoad>& loads);
  /** Forgets silent fronts, and adds up the kinds of work, now and then. */
  void refresh();
  void forgetUnresponsive();
  void addUpKinds();
  std::vector<wire::WorkerLoad> loadsOfPeers(const FrontKey& key) const;
  /** Leaves the most loaded and puts the mean of those beyond into the rest. */
  static void limitReported(wire::FleetLoad& load);

  base::Dispatcher& dispatcher_;
  base::Duration unresponsive_timeout_;
  std::map<FrontKey, Front> fronts_;
  /** Over all fronts, by worker. */
  std::map<std::uint32_t, Total> totals_;
  std::vector<wire::WorkKindCounts> kinds_;
  std::optional<base::TimePoint> refreshed_at_;
};

}  // namespace switchsaddle::core
