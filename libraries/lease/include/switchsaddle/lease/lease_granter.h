#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/lease/lease_times.h"
#include "switchsaddle/storage/record_store.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::lease {

/** Deliberate violations of a rule, for tests that show that the rule is needed. Never set in a
 * daemon. */
struct LeaseGranterFaults {
  /** Grants terms of any epoch. */
  bool ignore_epoch = false;
  /** Grants immediately after the start, although an earlier incarnation may have granted. */
  bool skip_recovery = false;
};

/**
 * Grants leases on a core node. Keeps for each name the highest granted term, which is synced
 * before the request is answered, and the holder until the lease expires by this node's clock.
 *
 * Invariant: of two grants of one name by this node, over all its incarnations, the later one has
 * the higher term and was made after the earlier one had expired or been released. Renewals are
 * excepted.
 *
 * It grants only terms of the epoch of its acceptor set. Majorities of two sets therefore never
 * grant concurrently, and a majority that includes a new member, which has no earlier terms, grants
 * no lower term. It grants nothing for one lease duration after it has begun to vote, since an
 * earlier incarnation may have granted. The term and its holder's instance are stored, so that a
 * lease survives a rolling restart of the granters. Runs on the control strand.
 */
class LeaseGranter {
 public:
  LeaseGranter(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
               storage::RecordStore& store, journal::Journal& journal, LeaseTimes times,
               LeaseGranterFaults faults = {});

  /**
   * Loads the stored terms; must be called before the first request.
   * @throws base::Error with RecordCorrupt if a record cannot be decoded.
   */
  void load(const storage::OpenedStore& opened);
  /** @return all records of this granter, as they are after the commits submitted so far. */
  std::vector<storage::Record> records() const;
  /**
   * @return whether a holder has renewed the lease at this node within its duration. False for a
   * candidate that has not renewed yet: its campaign may have failed at the other granters.
   */
  bool hasHolder(const std::string& name) const;
  /** @param may_vote called before each grant. Without it, the node always votes. */
  void setMayVote(std::function<bool()> may_vote) {
    may_vote_ = std::move(may_vote);
    updateVoting();
  }
  /** @param source returns the epoch of the acceptor set; only terms of that epoch are granted.
   *   Without it, terms of any epoch are granted. */
  void setEpochSource(std::function<std::uint64_t()> source) { epoch_source_ = std::move(source); }
  /** @param listener called for each failed commit, so that the store's owner reopens it. */
  void setCommitFailureListener(std::function<void(base::ResultCode)> listener) {
    commit_failure_listener_ = std::move(listener);
  }

 private:
  struct Lease {
    std::uint64_t highest_term = 0;
    /** Whether the commit of highest_term has ended. */
    bool durable = true;
    /** The current or the last holder; empty after the start. */
    base::NodeAddress holder;
    std::uint64_t holder_instance = 0;
    base::TimePoint expires_at;
    /** Whether the current holder has renewed the lease. */
    bool renewed = false;
  };

  void onRequest(const wire::LeaseRequest& request, transport::ReplyFunction reply);
  void onRelease(const wire::LeaseRelease& release);
  /** Updates `voting_since_`. @return whether this node may vote. */
  bool updateVoting();
  bool mayGrant(const wire::LeaseRequest& request);
  void grantNewTerm(const wire::LeaseRequest& request, transport::ReplyFunction reply);
  void onCommitted(const wire::LeaseRequest& request, base::ResultCode code,
                   const transport::ReplyFunction& reply);
  static storage::Record makeRecord(const std::string& name, const Lease& lease);
  wire::LeaseReply makeReply(const Lease& lease, bool granted) const;

  base::Dispatcher& dispatcher_;
  storage::RecordStore& store_;
  journal::Journal& journal_;
  LeaseTimes times_;
  LeaseGranterFaults faults_;
  /** When this incarnation began to vote; std::nullopt while it may not vote. */
  std::optional<base::TimePoint> voting_since_;
  std::function<bool()> may_vote_;
  std::function<std::uint64_t()> epoch_source_;
  std::function<void(base::ResultCode)> commit_failure_listener_;
  std::map<std::string, Lease> leases_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::lease
