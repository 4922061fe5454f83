#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/forwarding.h"
#include "switchsaddle/configuration/quota_share.h"
#include "switchsaddle/front/quota_ledger_client.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::front {

/** How a front keeps to its part of the quotas. */
struct QuotaOptions {
  configuration::QuotaBounds bounds;
  /** Part of the bound that is used; the rest covers what fronts let in before they hear of each
   * other. */
  double used = configuration::UsedShareOfQuota;
  /** What the fronts let in is known to each other after at most about this time. */
  base::Duration knowledge_lag = std::chrono::milliseconds(750);
  /** An allocation older than this is no longer relied on. */
  base::Duration allocation_lifetime = std::chrono::milliseconds(1'000);
  /** While what is left is more than so many times what all fronts could use before they hear of
   * each other, a front lets in what comes; else it asks the ledger. */
  double comfortable = 3;
  /** Part of the quota that a front may use between two reports for a tenant of which the cores say
   * nothing. */
  double unreported_share = 0.25;
  /** A front that has heard nothing since its start does not know how many others there are: it
   * counts on at least so many. */
  std::size_t assumed_fronts = 8;
  /** Until a front is as old as the window, and while the cores tell it nothing, it uses at most so
   * many times its equal part of what comes free, and this part of the quota besides: what was let
   * in before its start may be known to nobody any more. */
  double young_factor = 0.8;
  double young_share = 0.015;
};

/**
 * Holds tenants to their quotas, fleet-wide and without a call for a request: fronts tell the cores
 * with their sessions' renewals what they let in, and hear how much all of them did. While what is
 * left of the quota is more than all fronts could use before they hear of each other, each lets in
 * what comes; nearer to the bound each request is let in by the ledger, and where no ledger can be
 * reached each front keeps to its part of what is left. A front that hears nothing keeps the
 * smaller of an equal and its last part of the whole quota, so that all stay within it however many
 * are cut off. Runs on the control strand.
 */
class QuotaMeter {
 public:
  /** `authority` may be left out; each front then keeps to its part. */
  QuotaMeter(base::Dispatcher& dispatcher, QuotaOptions options,
             QuotaAuthority* authority = nullptr);

  /** When to come back; nothing where the request is let in and its units are counted. */
  using Decision = std::optional<base::Duration>;
  /** Returns whether the request goes on; where it does not, its units are taken back. */
  using DecisionCallback = std::function<bool(Decision)>;
  /** Decides by the ledger where the tenant is near its quota, else at once, within the call. */
  void acquire(const configuration::ForwardTenant& tenant, std::uint32_t urgency, double units,
               DecisionCallback callback);
  /** Decides at once, by this front's part. */
  Decision take(const configuration::ForwardTenant& tenant, double units);
  /** Takes back what a request counted that in the end did not run. */
  void refund(const configuration::ForwardTenant& tenant, double units);
  /** Whether any tenant with a quota has asked for something. */
  bool holdsTenants() const { return !usages_.empty(); }
  /** Fronts with live sessions, this one included. */
  void setFronts(std::size_t fronts);
  void setAllocations(const std::vector<wire::TenantAllocation>& allocations);
  /** What each tenant asked for lately and was let in for; noted as told to the cores. */
  std::vector<wire::TenantDemand> demand();

 private:
  struct Slice {
    base::TimePoint start;
    double units = 0;
  };
  struct Usage {
    /** Let in, oldest first. */
    std::deque<Slice> slices;
    double in_window = 0;
    /** Let in ever; and of that, what the cores were told last, and what the allocation counts. */
    double total = 0;
    double reported_total = 0;
    double allocated_total = 0;
    /** The last one told; nothing where the cores last said nothing of the tenant. */
    std::optional<wire::TenantAllocation> allocation;
    /** The last part told, for when the cores fall silent. */
    std::optional<double> last_share;
    /** The most that the fleet was told to have let in, as it has left the window since. */
    double highest_reported = 0;
    base::TimePoint highest_reported_at;
    /** Asked for since `demand_at`, and the mean before it. */
    double asked = 0;
    double demand_per_s = 0;
    base::TimePoint demand_at;
  };

  Usage& usageOf(const std::string& tenant);
  /** Whether the ledger has to be asked about so many units. */
  bool isNearQuota(const configuration::ForwardTenant& tenant, double limit, double units);
  /** Tells the caller, and takes the units back where it no longer wants them. */
  void tell(const configuration::ForwardTenant& tenant, double units, const Decision& decision,
            const DecisionCallback& callback);
  /** Decides by this front's part without noting what was asked for. */
  Decision acquireFromShare(const configuration::ForwardTenant& tenant, double limit, double units);
  void expire(Usage& usage) const;
  void count(Usage& usage, double units);
  /** Units that may be let in now, of a quota of `limit`. */
  double availableUnits(double limit, const Usage& usage) const;
  /** Whether the cores told lately how much the fleet lets in. */
  bool hasRecentReport() const;
  double availableByAllocation(double limit, const Usage& usage) const;
  /** What is left of `highest_reported`: a core that has just started forgets what ended fronts let
   * in. */
  double unexpiredReported(const Usage& usage) const;

  base::Dispatcher& dispatcher_;
  QuotaOptions options_;
  QuotaAuthority* authority_;
  base::TimePoint started_at_;
  std::size_t fronts_ = 1;
  /** When the cores last told how much the fleet lets in. */
  std::optional<base::TimePoint> reported_at_;
  std::map<std::string, Usage> usages_;
  /** Expires with this object, so that answers do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::front
