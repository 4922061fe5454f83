#pragma once

#include <cstdint>

#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/core/membership/membership_reconciler.h"
#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/core/node/register_stack.h"
#include "switchsaddle/lease/lease_holder.h"

namespace switchsaddle::core {

/** Name of the lease under which one core changes the acceptor set. */
inline constexpr const char* CoreMembershipLease = "core-membership";

/**
 * The singleton role that reconciles the acceptor set: campaigns for the lease, runs the reconciler
 * while the lease is held, and reports a set that cannot tolerate the configured losses. Runs on
 * the control strand.
 */
class MembershipRole {
 public:
  /** @param incarnation identifies this process among the candidates for the lease. */
  MembershipRole(const CoreEnvironment& environment, RegisterStack& registers,
                 std::uint64_t incarnation);
  MembershipRole(const MembershipRole&) = delete;
  MembershipRole& operator=(const MembershipRole&) = delete;

  /** Campaigns for the lease. */
  void startCampaign() { lease_.start(); }
  /** Releases the lease and stops campaigning. */
  void stopCampaign() { lease_.stop(); }
  /** Stops the reconciler; the lease is released by stopCampaign(). */
  void stop() { reconciler_.stop(); }
  bool holdsLease() const { return lease_.held(); }
  MembershipReconciler& reconciler() { return reconciler_; }
  LeaseStatus status() const;

 private:
  void onLease(bool gained);
  void reportShortfall(SpreadShortfall shortfall);

  base::IncidentSink& incidents_;
  const registers::Acceptor& acceptor_;
  lease::LeaseHolder lease_;
  MembershipReconciler reconciler_;
};

}  // namespace switchsaddle::core
