#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::core {

/** What the fleet has used of a tenant's quota. */
struct QuotaUse {
  /** Units in any window. */
  double limit = 0;
  /** Let in within the last window, what fronts that are cut off may have let in, and what fronts
   * may have let in that ended before this core heard them. */
  double admitted = 0;
};

/**
 * Adds up what all fronts let in for each tenant, and divides what is left of the quota among them
 * by what was asked of them lately. Every core hears all fronts' demands with their sessions'
 * records, so that any of them divides alike, without a lease and without a message of its own.
 * A front that is silent now counts with what it had let in, and, where no other process has its
 * address, with the equal part that it may let in by itself.
 *
 * A core that has started does not know what fronts let in that ended before. It tells nothing
 * until it has heard the fronts for a whole window, or until nobody can be missing: every front
 * that it hears has run for a whole window and has known of no other fronts but these. Runs on the
 * control strand.
 */
class QuotaAllocator {
 public:
  using RecordVisitor = std::function<void(const wire::SessionRecord&)>;
  /** Shows the visitor the record of each live session. */
  using RecordSource = std::function<void(const RecordVisitor&)>;

  QuotaAllocator(base::Dispatcher& dispatcher, RecordSource records,
                 configuration::QuotaBounds bounds);

  /** This core does not hear the fronts: it is starting, or joining. */
  void stopReceiving() { receiving_since_.reset(); }
  void setConfiguration(std::shared_ptr<const configuration::View> view) {
    view_ = std::move(view);
  }
  /** What the fleet has used by the records last added up; nothing where the tenant has no quota,
   * or this core may not decide. Where most fronts have just started, it assumes that the quota had
   * been used whole before, evenly over the window. */
  std::optional<QuotaUse> useOf(const std::string& tenant);
  /** The asks of the quota ledger that are settled by the record of the front last added up;
   * nothing where the front is not heard. */
  std::optional<std::uint64_t> settledRequests(const base::NodeAddress& front,
                                               std::uint64_t instance) const;
  /** Whether there are quotas and this core may decide for all fronts: it knows what they let in,
   * or nobody can, since most fronts have just started. */
  bool mayDecide();
  /** Counts the times that records were added up. */
  std::uint64_t refreshes() const { return refreshes_; }
  /** The front's parts of the quotas of which much has been used; nothing while this core may not
   * know what ended fronts let in. */
  std::optional<std::vector<wire::TenantAllocation>> allocate(const wire::SessionRecord& record);

 private:
  using FrontKey = std::pair<base::NodeAddress, std::uint64_t>;
  struct Front {
    base::TimePoint last_seen;
    std::vector<wire::TenantDemand> demand;
    wire::FleetKnowledge fleet_knowledge;
    std::uint64_t settled_requests = 0;
  };
  struct Total {
    double units_per_s = 0;
    double admitted = 0;
  };

  void refresh();
  /** Whether this core knows what all fronts let in within the last window. */
  bool knowsAll();
  /** Whether no front can have ended within the window by what all of them tell. */
  bool nobodyMissing() const;
  /** Takes over what the live sessions tell, and counts them. */
  void updateFronts();

  base::Duration window() const;
  /** The tenant's units in any window; nothing where it has no quota. */
  std::optional<double> limitOf(const std::string& tenant) const;
  bool muchUsed(const std::string& tenant, const Total& total) const;
  /** Part of a quota's window that ended fronts may have filled and this core does not know of. */
  double unknownShare() const;
  bool mostFrontsAreYoung() const { return live_ > 0 && 2 * young_ >= live_; }
  bool hasQuotas() const;
  /** Counts what fronts that are cut off but may be serving could let in by themselves. */
  void countCutOff();
  /** What the front had let in by the records last added up, by tenant. */
  std::map<std::string, double> admittedBy(const FrontKey& key) const;

  base::Dispatcher& dispatcher_;
  RecordSource records_;
  configuration::QuotaBounds bounds_;
  std::shared_ptr<const configuration::View> view_;
  /** Since when this core has heard the fronts without a break. */
  std::optional<base::TimePoint> receiving_since_;
  base::TimePoint refreshed_at_{};
  bool refreshed_ = false;
  std::uint64_t refreshes_ = 0;
  /** Over all fronts, by tenant. */
  std::map<std::string, Total> totals_;
  std::size_t live_ = 0;
  /** Live fronts that have run for less than a window. */
  std::size_t young_ = 0;
  std::map<FrontKey, Front> fronts_;
};

}  // namespace switchsaddle::core
