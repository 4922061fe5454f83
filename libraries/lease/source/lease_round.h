#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "switchsaddle/base/time.h"
#include "switchsaddle/lease/granter_set.h"
#include "switchsaddle/wire/lease_messages.h"

namespace switchsaddle::lease {

/** One request to all granters, for a new term or a renewal, with their answers. */
class LeaseRound {
 public:
  LeaseRound(std::uint64_t term, base::TimePoint requested_at)
      : term_(term), requested_at_(requested_at) {}

  std::uint64_t term() const { return term_; }
  base::TimePoint requestedAt() const { return requested_at_; }

  void setRequestCount(std::size_t count) { outstanding_ = count; }
  /** Records that a request has ended, with an answer or without one. */
  void endRequest() { --outstanding_; }
  void addAnswer(const base::NodeAddress& granter) { answered_by_.insert(granter); }
  void addGrant(const base::NodeAddress& granter) { granted_by_.insert(granter); }
  void addRejection(const base::NodeAddress& granter, const wire::LeaseReply& reply);

  /** Whether the granter has granted the term or has not answered. */
  bool mayHaveGranted(const base::NodeAddress& granter) const {
    return !rejected_by_.contains(granter);
  }

  bool grantedByQuorum(const GranterSet& granters) const { return granters.quorum(granted_by_); }
  /** Set once a majority has granted the term. */
  void markWon() { won_ = true; }
  bool won() const { return won_; }
  /** Whether all requests have ended and a majority has answered, but no majority has granted. */
  bool lost(const GranterSet& granters) const {
    return !won_ && outstanding_ == 0 && granters.quorum(answered_by_);
  }
  /** Whether the granter will never grant the round's term, since a rival has used this term or a
   * higher one there. */
  bool isContested(const wire::LeaseReply& reply, const base::NodeAddress& candidate) const;
  /** @return how long a rival may still hold the lease; zero if the granters are split between
   * rivals, so that none of them holds it. */
  base::Duration rivalRemaining(const GranterSet& granters) const;

 private:
  std::uint64_t term_;
  base::TimePoint requested_at_;
  /** Requests that have neither been answered nor failed. */
  std::size_t outstanding_ = 0;
  std::set<base::NodeAddress> answered_by_;
  std::set<base::NodeAddress> granted_by_;
  std::set<base::NodeAddress> rejected_by_;
  /** The granters that rejected the request for the lease of each rival. */
  std::map<base::NodeAddress, std::set<base::NodeAddress>> rejected_for_;
  /** Longest remaining time of a rival's lease that any granter reported. */
  base::Duration longest_remaining_{};
  bool won_ = false;
};

}  // namespace switchsaddle::lease
