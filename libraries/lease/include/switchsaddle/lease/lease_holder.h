#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/lease/granter_set.h"
#include "switchsaddle/lease/lease_times.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::lease {

class LeaseRound;

/** Deliberate violations of a rule, for tests that show that the rule is needed. Never set in a
 * daemon. */
struct LeaseHolderFaults {
  /** Measures the lease from the receipt of the grants instead of from the request. */
  bool count_from_receipt = false;
};

/**
 * A candidate for, and holder of, one named lease. Campaigns with random pauses until a majority of
 * granters has granted one term, then renews the lease every third of its duration.
 *
 * Invariant: held() is true for at most one holder in the fleet at any time, and each holder has a
 * higher term than the one before it. held() compares the current time with the end of the lease,
 * which is measured from the request to the granters and shortened by the drift margin.
 *
 * If the failed campaign of a rival has used the holder's term or a higher one at a granter, the
 * holder raises its own term, so that this granter grants its renewals again. Runs on the
 * dispatcher's strand.
 */
class LeaseHolder {
 public:
  /** Called with true when the lease is gained or its term is raised, and with false when it is
   * lost or released. */
  using Listener = std::function<void(bool)>;

  LeaseHolder(base::Dispatcher& dispatcher, transport::PeerCalls& calls, base::RandomSource& random,
              LeaseTimes times, std::string name, GranterSet& granters, std::uint64_t instance,
              LeaseHolderFaults faults = {});

  ~LeaseHolder();
  LeaseHolder(const LeaseHolder&) = delete;
  LeaseHolder& operator=(const LeaseHolder&) = delete;

  void setListener(Listener listener) { listener_ = std::move(listener); }
  void start();
  /** Releases the lease and ends the campaigns. */
  void stop();
  bool held() const;
  /** @return the term of the lease, or 0 if it is not held. */
  std::uint64_t term() const { return held() ? term_ : 0; }

 private:
  using RoundPtr = std::shared_ptr<LeaseRound>;

  void startNextRound();
  void startRound(std::uint64_t term);
  void onAnswer(const RoundPtr& round, const base::NodeAddress& granter,
                const transport::CallResult& result);
  void onReply(const RoundPtr& round, const base::NodeAddress& granter,
               const wire::LeaseReply& reply);
  void onGrantedByMajority(const RoundPtr& round);
  void onRoundEnded();
  void onExpired();
  /** Ends the lease locally, and reports the loss if the gain was reported. */
  void endLease();
  /** Releases the term at all granters. */
  void release(std::uint64_t term);
  /** Releases the round's term at the granters that may have granted it. */
  void releaseGrants(const LeaseRound& round);
  /** @return the lowest term of the current epoch above all terms seen in that epoch. */
  std::uint64_t nextTerm() const;
  bool isCurrentEpoch(std::uint64_t term) const;
  /** @return the duration less the drift margin, for which the holder uses the lease. */
  base::Duration usableDuration() const;
  base::Duration drawBackoff();

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  base::RandomSource& random_;
  LeaseTimes times_;
  std::string name_;
  GranterSet& granters_;
  std::uint64_t instance_;
  LeaseHolderFaults faults_;
  Listener listener_;
  bool running_ = false;
  /** Whether the listener was last called with a gain. */
  bool gain_reported_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t highest_term_seen_ = 0;
  /** Whether the next renewal must raise the term, so that every granter can grant it. */
  bool term_contested_ = false;
  std::optional<base::TimePoint> held_until_;
  RoundPtr round_;
  /** Starts the next round. */
  base::TimerPtr next_round_timer_;
  /** Ends the current round. */
  base::TimerPtr round_timer_;
  base::TimerPtr expiry_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::lease
