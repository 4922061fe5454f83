#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/lease/granter_set.h"
#include "switchsaddle/lease/lease_times.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::lease {

/** Test-only deviations that show that a rule is needed; never set in a daemon. */
struct LeaseHolderFaults {
  /** Counts the lease from receipt of the grants, not from the moment of asking. */
  bool count_from_receipt = false;
};

/**
 * A candidate for, and holder of, one named lease. Campaigns with random pauses until a majority of
 * granters has granted one term, then renews at a third of the duration.
 *
 * Invariant: at most one held() in the fleet at any moment, and each holder has a higher term than
 * the one before it. A granter which a rival's failed campaign has used up for the holder's term is
 * won back by raising the term while the lease is held. held() is judged by the clock at the moment
 * of asking; the lease counts from the moment of asking a majority, less the margin for drift. Runs
 * on the dispatcher's strand.
 */
class LeaseHolder {
 public:
  /** Told true when the lease is gained or its term has risen, and false when it is lost or given
   * back. */
  using Listener = std::function<void(bool)>;

  LeaseHolder(base::Dispatcher& dispatcher, transport::PeerCalls& calls, base::RandomSource& random,
              LeaseTimes times, std::string name, GranterSet& granters, std::uint64_t instance,
              LeaseHolderFaults faults = {});

  void setListener(Listener listener) { listener_ = std::move(listener); }
  void start();
  /** Gives the lease back and campaigns no more. */
  void stop();
  bool held() const;
  /** The term of the lease held; 0 where none is. */
  std::uint64_t term() const { return held() ? term_ : 0; }

 private:
  /** One question to all granters, for a new term or a renewal. */
  struct Round {
    std::uint64_t term = 0;
    base::TimePoint requested_at;
    std::set<base::NodeAddress> granted_by;
    /** Granters that refused for each rival's sake. */
    std::map<base::NodeAddress, std::set<base::NodeAddress>> held_by;
    /** Longest time left of another's lease, as granters told. */
    base::Duration held_elsewhere{};
    /** Granters asked that have neither answered nor failed. */
    std::size_t outstanding = 0;
    std::set<base::NodeAddress> answered_by;
    bool settled = false;
  };
  using RoundPtr = std::shared_ptr<Round>;

  void act();
  void startRound(std::uint64_t term);
  void onAnswer(const RoundPtr& round, const base::NodeAddress& granter,
                const transport::CallResult& result);
  void onReply(const RoundPtr& round, const base::NodeAddress& granter,
               const wire::LeaseReply& reply);
  void noteRefusal(Round& round, const base::NodeAddress& granter, const wire::LeaseReply& reply);
  /** How long to leave a rival alone that holds the lease; zero where rivals only split it. */
  base::Duration waitFor(const Round& round) const;
  /** Whether this granter will never grant the round's term, a rival having used it or a higher
   * one. */
  bool isContested(const Round& round, const wire::LeaseReply& reply) const;
  void onMajority(const RoundPtr& round);
  void onRoundEnded();
  void onExpired();
  void lose();
  void release(std::uint64_t term);
  /** The lowest term of the present granters' epoch above those heard of. */
  std::uint64_t nextTerm() const;
  bool ofPresentEpoch(std::uint64_t term) const;
  base::Duration holdTime() const;
  base::Duration backOff();

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
  /** Whether the listener was last told of a gain. */
  bool announced_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t highest_term_seen_ = 0;
  /** The next renewal has to raise the term, so that every granter can grant it. */
  bool contested_ = false;
  std::optional<base::TimePoint> held_until_;
  RoundPtr round_;
  /** Starts the next round. */
  base::TimerPtr action_timer_;
  /** Ends the present round. */
  base::TimerPtr round_timer_;
  base::TimerPtr expiry_timer_;
  /** Expires with this object, so that late callbacks find it gone. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::lease
