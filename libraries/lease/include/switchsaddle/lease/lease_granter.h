#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/lease/lease_times.h"
#include "switchsaddle/storage/record_store.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::lease {

/** Test-only deviations that show that a rule is needed; never set in a daemon. */
struct LeaseGranterFaults {
  /** Grants terms of whatever epoch. */
  bool ignore_epoch = false;
  /** Grants right after start, though an earlier life may have granted. */
  bool skip_recovery = false;
};

/**
 * A core node's part in granting leases. Keeps, for each name, the highest term it has granted
 * (durable before the grant is answered) and the holder until the lease ends by its own clock.
 *
 * Invariant: of two grants of one name by this node, through all its lives, the later has the
 * higher term, and was made after the earlier one had ended or been released; renewals apart. It
 * grants only terms of its own set's epoch, so that majorities of two sets never grant side by side
 * and a majority with a newcomer, which knows no former term, grants none below them. It
 * grants nothing for one lease duration after it has begun to vote, since an earlier life may have
 * granted. The term and its holder's instance are stored, so that a holder outlives the restart of
 * one granter after another. Runs on the control strand.
 */
class LeaseGranter {
 public:
  LeaseGranter(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
               storage::RecordStore& store, journal::Journal& journal, LeaseTimes times,
               LeaseGranterFaults faults = {});

  /** Takes the terms over from the opened store; called before the first request. */
  void load(const storage::OpenedStore& opened);
  /** What the store holds, or is to hold, of this granter. */
  std::vector<storage::Record> records() const;
  /** Asked before each grant; without it the node always votes. */
  void setMayVote(std::function<bool()> may_vote) {
    may_vote_ = std::move(may_vote);
    observeVote();
  }

  /** Tells the epoch of the granter's set; only terms of that epoch are granted. Without it all
   * are.
   */
  void setEpochSource(std::function<std::uint64_t()> source) { epoch_source_ = std::move(source); }

  /** Told of each failed commit, so that the store's owner opens it anew. */
  void setCommitFailureListener(std::function<void(base::ResultCode)> listener) {
    commit_failure_listener_ = std::move(listener);
  }

 private:
  struct Lease {
    std::uint64_t highest_term = 0;
    /** Whether highest_term is in the store. */
    bool durable = true;
    /** The holder, or the last one known; empty after start. */
    base::NodeAddress holder;
    std::uint64_t holder_instance = 0;
    base::TimePoint expires_at;
  };

  void onRequest(const wire::LeaseRequest& request, transport::ReplyFunction reply);
  void onRelease(const wire::LeaseRelease& release);
  bool observeVote();
  bool mayGrant(const wire::LeaseRequest& request);
  void grantNewTerm(const wire::LeaseRequest& request, transport::ReplyFunction reply);
  void onStored(const wire::LeaseRequest& request, base::ResultCode code,
                const transport::ReplyFunction& reply);
  static storage::Record recordOf(const std::string& name, const Lease& lease);
  wire::LeaseReply answer(const Lease& lease, bool granted) const;

  base::Dispatcher& dispatcher_;
  storage::RecordStore& store_;
  journal::Journal& journal_;
  LeaseTimes times_;
  LeaseGranterFaults faults_;
  /** Since when this life has been voting; unset while it may not. */
  std::optional<base::TimePoint> voting_since_;
  std::function<bool()> may_vote_;
  std::function<std::uint64_t()> epoch_source_;
  std::function<void(base::ResultCode)> commit_failure_listener_;
  std::map<std::string, Lease> leases_;
  /** Expires with this object, so that late callbacks find it gone. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::lease
