#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/core/quotas/fleet_demand.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::core {

/** The fleet's use of one tenant's quota. */
struct QuotaUse {
  /** Maximum units in any window. */
  double limit = 0;
  /**
   * Units admitted within the last window, plus units possibly admitted by partitioned fronts or by
   * fronts that ended before this core received their records.
   */
  double admitted = 0;
};

/**
 * Divides the remaining quota of each tenant among the fronts by their recent demand. Every core
 * receives the demand of all fronts with their session records, so that all cores compute the same
 * allocation without a lease and without further messages.
 *
 * A core that has just started has no records of the units admitted by fronts that have ended. It
 * allocates nothing until it has received records for a whole window, or until no front can be
 * missing (see FleetDemand::allFrontsKnown()). Runs on the control strand.
 */
class QuotaAllocator {
 public:
  using RecordVisitor = FleetDemand::RecordVisitor;
  using RecordSource = FleetDemand::RecordSource;

  QuotaAllocator(base::Dispatcher& dispatcher, RecordSource records,
                 configuration::QuotaBounds bounds);

  /** Called while this core does not receive all records of the fronts, since it is starting or
   * joining. */
  void stopReceiving() { receiving_since_.reset(); }
  void setConfiguration(std::shared_ptr<const configuration::View> view) {
    view_ = std::move(view);
  }
  /**
   * @return the fleet's use of the quota; std::nullopt if the tenant has no quota or this core may
   * not decide. If most fronts have just started, the quota is assumed to have been used up before,
   * evenly over the window.
   */
  std::optional<QuotaUse> useOf(const std::string& tenant);
  /**
   * @return the number up to which the front's requests to the quota ledger are settled by its
   * record; std::nullopt if the front is unknown.
   */
  std::optional<std::uint64_t> completedRequests(const base::NodeAddress& front,
                                                 std::uint64_t instance) const {
    return demand_.completedRequests(FrontKey{front, instance});
  }
  /**
   * @return whether there are quotas and this core may decide for all fronts. It may decide if it
   * has the records of the last window, or if no core can have them, since most fronts have just
   * started.
   */
  bool mayDecide();
  /** @return how often the records were aggregated. */
  std::uint64_t refreshes() const { return refreshes_; }
  /**
   * @return the front's shares of the quotas whose use exceeds the reporting threshold;
   * std::nullopt while this core may lack records of fronts that have ended.
   */
  std::optional<std::vector<wire::TenantAllocation>> allocate(const wire::SessionRecord& record);

 private:
  void refresh();
  /** @return whether this core has the records of all fronts for the last window. */
  bool hasFullWindow();
  base::Duration window() const;
  /** @return the tenant's maximum units in any window; std::nullopt if it has no quota. */
  std::optional<double> limitOf(const std::string& tenant) const;
  bool exceedsReportingThreshold(const std::string& tenant, const TenantTotal& total) const;
  /** @return the fraction of a quota that may have been used by ended fronts without a record here.
   */
  double unknownShare() const;
  bool hasQuotas() const;
  /** @param reported the demand in the front's record; @param counted the one in the totals. */
  wire::TenantAllocation allocationOf(const std::string& tenant, const TenantTotal& total,
                                      const wire::TenantDemand& reported, double counted) const;

  base::Dispatcher& dispatcher_;
  RecordSource records_;
  configuration::QuotaBounds bounds_;
  std::shared_ptr<const configuration::View> view_;
  /** Since when this core has received the fronts' records without interruption. */
  std::optional<base::TimePoint> receiving_since_;
  std::optional<base::TimePoint> refreshed_at_;
  std::uint64_t refreshes_ = 0;
  FleetDemand demand_;
};

}  // namespace switchsaddle::core
