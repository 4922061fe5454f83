#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::core {

/** A front process: its address and instance. */
using FrontKey = std::pair<base::NodeAddress, std::uint64_t>;

/** The demand for one tenant's quota, summed over all fronts. */
struct TenantTotal {
  /** Units requested per second at the live fronts. */
  double units_per_s = 0;
  /** Units admitted within the last window, or possibly admitted by partitioned fronts. */
  double admitted = 0;
};

/**
 * Aggregates the quota demand that the fronts report in their session records. An unresponsive
 * front counts with the units it had admitted. Unless another process has its address, it also
 * counts with the equal share of the quota that it may admit while partitioned. Runs on the control
 * strand.
 */
class FleetDemand {
 public:
  using RecordVisitor = std::function<void(const wire::SessionRecord&)>;
  /** Passes the record of each live session to the visitor. */
  using RecordSource = std::function<void(const RecordVisitor&)>;
  /** The tenant's maximum units in any window; std::nullopt if it has no quota. */
  using LimitOf = std::function<std::optional<double>(const std::string& tenant)>;

  /** Reads the records of the live sessions. */
  void update(const RecordSource& records, base::Duration window, base::TimePoint now);
  /** Sums up the demand of all fronts in the records last read. */
  void aggregate(const LimitOf& limit_of);

  /** The sums of the last aggregate(), by tenant. */
  const std::map<std::string, TenantTotal>& totals() const { return totals_; }
  std::size_t liveFronts() const { return live_; }
  /** @return the number of live fronts that have run for less than a window. */
  std::size_t recentlyStartedFronts() const { return recently_started_; }
  bool mostFrontsStartedRecently() const { return live_ > 0 && 2 * recently_started_ >= live_; }
  /**
   * @return whether no front can have ended within the window without a record here: every live
   * front has run for a whole window and its view contains exactly the live fronts.
   */
  bool allFrontsKnown() const;
  /** @return the units that the front had admitted, by tenant, according to the last record read.
   */
  std::map<std::string, double> admittedBy(const FrontKey& key) const;
  /** @return the number up to which the front's record settles its quota requests; std::nullopt if
   * the front is unknown. */
  std::optional<std::uint64_t> completedRequests(const FrontKey& key) const;

 private:
  struct Front {
    base::TimePoint last_seen;
    std::vector<wire::TenantDemand> demand;
    wire::FleetKnowledge fleet_knowledge;
    std::uint64_t completed_requests = 0;
  };

  bool isLive(const Front& front) const { return front.last_seen == updated_at_; }
  bool countsAsAdmitted(const Front& front) const;
  void sumReported();
  void addPartitioned(const LimitOf& limit_of);

  base::TimePoint updated_at_{};
  std::map<std::string, TenantTotal> totals_;
  std::size_t live_ = 0;
  std::size_t recently_started_ = 0;
  std::map<FrontKey, Front> fronts_;
};

}  // namespace switchsaddle::core
