#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/forwarding.h"
#include "switchsaddle/configuration/quota_share.h"
#include "switchsaddle/front/admission/quota_ledger_client.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::front {

/** Parameters by which a front keeps to its share of the quotas. */
struct QuotaOptions {
  configuration::QuotaBounds bounds;
  /** Share of the limit that is used; the remainder covers units that fronts admit before the
   * reports of them reach their peers. */
  double used_share = configuration::UsableQuotaShare;
  /** Approximate upper bound of the time until a front has received the report of what its peers
   * have admitted.
   */
  base::Duration propagation_delay = std::chrono::milliseconds(750);
  /** Allocations expire after this time. */
  base::Duration allocation_lifetime = std::chrono::milliseconds(1'000);
  /** A front admits locally while the remaining quota is more than this multiple of the units that
   * the fleet could admit within the propagation delay. Below that, it requests units from the
   * ledger. */
  double headroom_factor = 3;
  /** Share of the quota that a front may admit between two reports for a tenant for which the cores
   * report no allocation. */
  double unreported_share = 0.25;
  /** Number of fronts assumed at least by a front that has received no report since its start. */
  std::size_t assumed_fronts = 8;
  /** A front that is younger than the window and has no report admits at most this multiple of its
   * equal share of the units that become available, plus `startup_share` of the quota: possibly no
   * node has a record of what was admitted before its start. */
  double startup_factor = 0.8;
  double startup_share = 0.015;
};

/** What the caller of QuotaMeter::acquire() does with the admitted units. */
enum class AdmittedUnits : std::uint8_t {
  /** They are used, or the request was rejected. */
  Keep,
  /** The request has ended in the meantime: they are refunded. */
  Refund,
};

/**
 * Enforces the tenants' quotas over the fleet without a remote call for each request.
 *
 * Fronts report the units that they admit with the renewals of their sessions, and receive the sum
 * over the fleet. While the remaining quota is more than all fronts could admit before they receive
 * each other's reports, each admits every request. Closer to the limit the ledger decides on each
 * request, and if no ledger is reachable, each front admits within its share of the remainder. A
 * front without recent reports admits within the smaller of an equal share and its last share of
 * the complete quota.
 *
 * Invariant: the sum over all fronts stays within the quota however many of them are partitioned
 * from the cores. Runs on the control strand.
 */
class QuotaMeter {
 public:
  /** @param authority may be null: each front then admits within its share. Outlives the meter. */
  QuotaMeter(base::Dispatcher& dispatcher, QuotaOptions options,
             QuotaAuthority* authority = nullptr);

  /** std::nullopt if the request is admitted and its units are counted, else the Retry-After time.
   */
  using Decision = std::optional<base::Duration>;
  using DecisionCallback = std::function<AdmittedUnits(Decision)>;
  /**
   * Acquires units of the tenant's quota. Requests them from the ledger if the tenant is close to
   * its quota, else decides before it returns.
   */
  void acquire(const configuration::ForwardTenant& tenant, std::uint32_t urgency, double units,
               DecisionCallback callback);
  /** Acquires units within this front's share, without the ledger. */
  Decision acquireLocally(const configuration::ForwardTenant& tenant, double units);
  /** Returns the units of a request that was admitted and has not run. */
  void refund(const configuration::ForwardTenant& tenant, double units);
  /** Whether any tenant with a quota has sent requests. */
  bool hasTenants() const { return !usages_.empty(); }
  /** @param fronts number of fronts with live sessions, including this one. */
  void setFronts(std::size_t fronts);
  /** Applies the cores' report of what the fleet has admitted. */
  void setAllocations(const std::vector<wire::TenantAllocation>& allocations);
  /** @return the demand and the admitted units of each tenant; records them as reported. */
  std::vector<wire::TenantDemand> demand();

 private:
  struct Slice {
    base::TimePoint start;
    double units = 0;
  };
  struct Usage {
    /** Admitted units in the window, oldest first; their sum is `in_window`. */
    std::deque<Slice> slices;
    double in_window = 0;
    /** Units admitted since the start; of these, the units in the last report to the cores, and
     * those that the allocation includes. */
    double total = 0;
    double reported_total = 0;
    double allocated_total = 0;
    /** From the cores' last report; std::nullopt if that did not include the tenant. */
    std::optional<wire::TenantAllocation> allocation;
    /** The last share received; used when the cores are unreachable. */
    std::optional<double> last_share;
    /** The most units that the fleet was reported to have admitted, less what has left the window
     * since. */
    double highest_reported = 0;
    base::TimePoint highest_reported_at;
    /** Units requested since `demand_at`, and the mean rate before. */
    double requested = 0;
    double demand_per_s = 0;
    base::TimePoint demand_at;
  };

  Usage& usageOf(const std::string& tenant);
  /** Whether the ledger has to decide on this many units. */
  bool isNearQuota(const configuration::ForwardTenant& tenant, double limit, double units);
  /** Decides by the ledger's reply, or within this front's share if there is none. */
  Decision decide(const configuration::ForwardTenant& tenant, double limit, double units,
                  const std::optional<wire::QuotaReply>& reply);
  /** Calls the callback, and refunds the units if it does not use them. */
  void deliver(const configuration::ForwardTenant& tenant, double units, const Decision& decision,
               const DecisionCallback& callback);
  /** Decides within this front's share; does not count the units as requested. */
  Decision acquireFromShare(const configuration::ForwardTenant& tenant, double limit, double units);
  void expire(Usage& usage) const;
  void count(Usage& usage, double units);
  /** @return units that may be admitted now, of a quota of `limit`. */
  double availableUnits(double limit, const Usage& usage) const;
  /** Whether the cores' last report has not expired. */
  bool hasRecentReport() const;
  double availableByAllocation(double limit, const Usage& usage) const;
  double availableWithoutReport(double limit, const Usage& usage) const;
  /** @return units of `highest_reported` that are still in the window: a core that has just started
   * has no record of what fronts that have ended admitted. */
  double unexpiredReported(const Usage& usage) const;

  base::Dispatcher& dispatcher_;
  QuotaOptions options_;
  QuotaAuthority* authority_;
  base::TimePoint started_at_;
  std::size_t fronts_ = 1;
  /** When the cores last reported what the fleet admits. */
  std::optional<base::TimePoint> reported_at_;
  std::map<std::string, Usage> usages_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::front
