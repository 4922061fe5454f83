#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/forwarding.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::front {

/** Bounds of the quotas of a deployment, on the units that a tenant may be let in for in any
 * window: (rate x window + burst) x (1 + overshoot) + slack. */
struct QuotaOptions {
  base::Duration window = std::chrono::seconds(8);
  double overshoot = 0;
  double slack = 0;
  /** Part of the bound that is used; the rest covers what fronts let in before they hear of each
   * other. */
  double used = 0.9;
  /** What the fronts let in is known to each other after at most about this time. */
  base::Duration knowledge_lag = std::chrono::milliseconds(750);
  /** An allotment older than this is no longer relied on. */
  base::Duration allotment_lifetime = std::chrono::milliseconds(2'500);
};

/**
 * Holds tenants to their quotas, fleet-wide and without a call for a request: fronts tell the cores
 * with their sessions' renewals what they let in, and hear how much all of them did. While what is
 * left of the quota is more than all fronts could use before they hear of each other, each lets in
 * what comes; nearer to the bound each keeps to its part of what is left. A front that hears
 * nothing keeps the smaller of an equal and its last part of the whole quota, so that all stay
 * within it however many are cut off. Runs on the control strand.
 */
class QuotaMeter {
 public:
  QuotaMeter(base::Dispatcher& dispatcher, QuotaOptions options);

  /** Counts the units against the tenant's quota, or tells when to come back. */
  std::optional<base::Duration> take(const configuration::ForwardTenant& tenant, double units);
  /** Takes back what a request counted that in the end did not run. */
  void giveBack(const configuration::ForwardTenant& tenant, double units);
  /** Fronts with live sessions, this one included. */
  void setFronts(std::size_t fronts);
  void setAllotments(const std::vector<wire::TenantAllotment>& allotments);
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
    /** Let in ever; and of that, what the cores were told last, and what the allotment counts. */
    double total = 0;
    double told_total = 0;
    double allotted_total = 0;
    wire::TenantAllotment allotment;
    bool is_allotted = false;
    base::TimePoint allotted_at;
    /** Asked for since `demand_at`, and the mean before it. */
    double asked = 0;
    double demand_per_s = 0;
    base::TimePoint demand_at;
  };

  Usage& usageOf(const std::string& tenant);
  void expire(Usage& usage) const;
  void count(Usage& usage, double units);
  double limitOf(const configuration::ForwardTenant& tenant) const;
  /** Units that may be let in now. */
  double roomOf(const configuration::ForwardTenant& tenant, const Usage& usage) const;

  base::Dispatcher& dispatcher_;
  QuotaOptions options_;
  std::size_t fronts_ = 1;
  std::map<std::string, Usage> usages_;
};

}  // namespace switchsaddle::front
