#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/quotas/fleet_demand.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::core {

/**
 * Sums up the load that the fronts report for each worker in their session records, and gives each
 * front the load of its peers. Every core receives all records, so that all cores compute the same
 * sums without further messages. A front that has ended or timed out does not count.
 * Runs on the control strand.
 */
class LoadLedger {
 public:
  LoadLedger(base::Dispatcher& dispatcher, base::Duration unresponsive_timeout)
      : dispatcher_(dispatcher), unresponsive_timeout_(unresponsive_timeout) {}

  /** Replaces the previous report of the front's process. */
  void update(const wire::SessionRecord& record);
  /**
   * Maximum number of workers reported individually to a front. Bounds its control traffic to 5 KB
   * per second for any size of the fleet.
   */
  static constexpr std::size_t MaximumReportedWorkers = 128;

  /**
   * @return the load of the front's peers: the most loaded workers individually, the mean of the
   * rest, and the kinds of work of all fronts.
   */
  wire::FleetLoad loadFor(const wire::SessionRecord& record);
  /** @return the requests of all fronts on the worker with this workers::loadKey(). */
  std::uint32_t requestsOn(std::uint32_t worker) const;

 private:
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
  /** Removes fronts that timed out and sums up the kinds of work, unless that is recent. */
  void refresh();
  void removeUnresponsive();
  void sumKinds();
  std::vector<wire::WorkerLoad> loadsOfPeers(const FrontKey& key) const;
  /** Keeps the most loaded workers, and replaces the others by their mean. */
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
