#pragma once

#include <string>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/configuration/in_force_tracker.h"
#include "switchsaddle/core/membership/core_membership.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::core {

/** Delays of the follower. */
struct FollowerOptions {
  /**
   * Time for the proposer of an accepted version to commit it and to send its delta, before this
   * node reads the register. A read transfers the whole value five times and competes with reads by
   * peers, so it is only meant for the case that the proposer failed.
   */
  base::Duration first_delay = std::chrono::milliseconds(300);
  /** Delay after a read that did not return the accepted version. */
  base::Duration retry_delay = std::chrono::milliseconds(200);
  /** Interval of reads while the replica is not lagging. */
  base::Duration idle_interval = std::chrono::seconds(30);
};

/**
 * Keeps a core node's replica at the committed configuration. If the local acceptor has accepted a
 * version newer than the replica's, the follower reads the register from a quorum. The read
 * completes a proposal that its proposer abandoned; without it, fronts whose sessions require that
 * version would wait indefinitely. The version read is pushed to the fronts with sessions. Runs on
 * the control strand.
 */
class ConfigurationFollower {
 public:
  ConfigurationFollower(base::Dispatcher& dispatcher, registers::RegisterProposer& proposer,
                        CoreMembership& membership, dissemination::ConfigurationReplica& replica,
                        InForceTracker& tracker, FollowerOptions options = {});
  ConfigurationFollower(const ConfigurationFollower&) = delete;
  ConfigurationFollower& operator=(const ConfigurationFollower&) = delete;

  /** Reads the register now, then as needed. */
  void start();
  void stop();
  /** The local acceptor has accepted and synced this value of the configuration register. */
  void onAccepted(const std::string& value);

 private:
  bool isLagging() const;
  void onTimer();
  void read();
  void onRead(const registers::RegisterOutcome& outcome);

  base::Dispatcher& dispatcher_;
  registers::RegisterProposer& proposer_;
  CoreMembership& membership_;
  dissemination::ConfigurationReplica& replica_;
  InForceTracker& tracker_;
  FollowerOptions options_;
  /** When the register is read next if the replica is not lagging. */
  base::TimePoint idle_due_;
  base::TimerPtr timer_;
  bool running_ = false;
  bool reading_ = false;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
