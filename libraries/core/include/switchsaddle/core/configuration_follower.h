#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/core_membership.h"
#include "switchsaddle/core/in_force_tracker.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::core {

/** Times of the follower. */
struct FollowerOptions {
  /** Left to the proposer of a new version to finish and to hand it over before this node reads the
   * register. A reading moves the whole value five times, and readings of several nodes at once
   * hinder each other, so it is kept for a proposer that failed. */
  base::Duration first_pause = std::chrono::milliseconds(300);
  /** Pause after a reading that did not bring the accepted version. */
  base::Duration retry_pause = std::chrono::milliseconds(200);
  /** Pause between readings while nothing is known to be newer. */
  base::Duration idle_pause = std::chrono::seconds(30);
};

/**
 * Keeps a core node's replica at the committed configuration. A version which the local acceptor
 * has accepted, but which this node has not seen committed, is read from a quorum, which commits
 * what its proposer left unfinished; otherwise fronts whose sessions ask for that version would
 * wait for it for ever. What is read is pushed to the fronts with sessions. Runs on the control
 * strand.
 */
class ConfigurationFollower {
 public:
  ConfigurationFollower(base::Dispatcher& dispatcher, registers::RegisterProposer& proposer,
                        CoreMembership& membership, dissemination::ConfigurationReplica& replica,
                        InForceTracker& tracker, FollowerOptions options = {});
  ConfigurationFollower(const ConfigurationFollower&) = delete;
  ConfigurationFollower& operator=(const ConfigurationFollower&) = delete;

  /** Reads at once, then as needed. */
  void start();
  void stop();
  /** The local acceptor holds this value of the configuration register, synced. */
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
  /** When the register is read though nothing is known to be newer. */
  base::TimePoint idle_due_;
  base::TimerPtr timer_;
  bool running_ = false;
  bool reading_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::core
