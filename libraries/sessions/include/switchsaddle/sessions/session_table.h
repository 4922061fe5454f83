#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/sessions/core_view.h"
#include "switchsaddle/sessions/session_directory.h"
#include "switchsaddle/sessions/session_times.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::sessions {

/** Test-only deviations that show that a rule is needed; never set in a daemon. */
struct SessionTableFaults {
  /** Answers table requests right after start as if it knew every session. */
  bool skip_recovery = false;
  /** Lets the answers of one read lie as far apart as its deadline. */
  bool unbounded_read = false;
  /** Records for, and answers, cores that count majorities of another acceptor set. */
  bool ignore_epoch = false;
};

/**
 * A core node's table of front sessions. Grants a session once a majority of cores has recorded it,
 * keeps the records its peers send it, and reads the live sessions of the fleet.
 *
 * Invariant: a front which a completed readLive() does not list dispatches nothing until it has
 * opened again with a version at least as new as every one accepted at a majority before the read.
 * It rests on five rules: records live longer at a core than at their front; a core which may have
 * forgotten records is not counted for one core limit; all answers of one read lie within the
 * difference of the two limits; a front takes its version only from a request made after its
 * session was first granted; and majorities are counted among cores of one set epoch, where a core
 * that joins is counted in reads only from one core limit after its set was settled (until then the
 * majority of the set before it, which granted what it never saw, could still grant).
 *
 * Two instances at one front address are kept side by side until they expire: records carry nothing
 * that tells which process is the newer, and a late record of the dead one must not hide the living
 * one. Runs on the control strand.
 */
class SessionTable : public SessionDirectory {
 public:
  SessionTable(base::Dispatcher& dispatcher, transport::PeerCalls& calls, journal::Journal& journal,
               SessionTimes times, CoreView& view, SessionTableFaults faults = {});

  void readLive(LiveSessionsCallback callback) override;
  void readLagging(std::uint64_t version, LiveSessionsCallback callback) override;
  std::vector<wire::SessionTableEntry> localSessions() const override;
  std::vector<wire::SessionTableEntry> localLagging(std::uint64_t version) const override;
  /** Shows each live session recorded here, without a copy of it. */
  void visitLocal(const std::function<void(const wire::SessionRecord&)>& visitor) const;
  /** Adds to the grant of a session what else the front is to hear. */
  using GrantSource =
      std::function<void(const wire::SessionRecord& record, wire::SessionOpenReply& granted)>;
  void setGrantSource(GrantSource source) { grant_source_ = std::move(source); }
  /** Hears each record that is newer than the one before of its front. */
  using RecordListener = std::function<void(const wire::SessionRecord& record)>;
  void setRecordListener(RecordListener listener) { record_listener_ = std::move(listener); }
  /** Whether sessions granted through this node's earlier life may still be unknown to it. */
  bool recovering() const;

 private:
  using SessionKey = std::pair<base::NodeAddress, std::uint64_t>;
  struct Entry {
    wire::SessionRecord record;
    base::TimePoint expires_at;
  };
  struct PendingGrant {
    wire::SessionRecord record;
    std::uint64_t members_digest = 0;
    transport::ReplyFunction reply;
    base::TimePoint expires_at;
  };
  /** Records sent to all cores together, and who has recorded them. */
  struct Batch {
    std::uint64_t number = 0;
    std::uint64_t set_epoch = 0;
    std::vector<PendingGrant> grants;
    std::set<base::NodeAddress> recorded_at;
    std::uint64_t committed_version = 0;
    bool recorded = false;
  };
  /** The fronts of all sessions on record that are not closed, and their digest. */
  struct Members {
    bool outdated = true;
    std::vector<base::NodeAddress> fronts;
    std::uint64_t digest = 0;
  };
  using BatchPtr = std::shared_ptr<Batch>;
  struct Read;
  using ReadPtr = std::shared_ptr<Read>;

  /** A record without what its front tells besides: tables are read many times a second while a
   * change waits, and with hundreds of fronts the rest is most of them. */
  static wire::SessionRecord bareRecord(const wire::SessionRecord& record);
  static bool isLive(const Entry& entry, base::TimePoint now);
  void onOpen(const wire::SessionOpenRequest& request, transport::ReplyFunction reply);
  void onBatch(const wire::SessionRecordBatch& batch, const transport::ReplyFunction& reply);
  void record(const wire::SessionRecord& record);
  /** Journals which instances at the record's address have sessions now. */
  void journalSession(const wire::SessionRecord& record);
  /** Sends what waits once the interval has passed since the last batch and a majority has recorded
   * that, or earlier where that is due already. */
  void scheduleFlush(base::Duration interval);
  bool carriesNewVersion(const wire::SessionRecord& record) const;
  void flush();
  void onBatchReply(const base::NodeAddress& peer, Batch& batch,
                    const transport::CallResult& result);
  void onRecorded(Batch& batch);
  void grant(PendingGrant& pending, std::uint64_t committed_version);
  /** The fronts on record, worked out anew only where they may have changed. */
  const Members& members();
  void startRound(const ReadPtr& read);
  void onTable(const ReadPtr& read, std::uint64_t round, const base::NodeAddress& peer,
               const transport::CallResult& result);
  /** Takes the read by value: it must outlive its place in `reads_`. */
  void finishRead(ReadPtr read, base::ResultCode code);
  base::Duration roundLimit() const;
  void sweep();
  void observeVote() const;
  bool sameEpoch(std::uint64_t set_epoch) const;

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  journal::Journal& journal_;
  SessionTimes times_;
  CoreView& view_;
  SessionTableFaults faults_;
  GrantSource grant_source_;
  RecordListener record_listener_;
  /** Since when this life of the node has been able to record all; unset while it may not vote, or
   * joins. */
  mutable std::optional<base::TimePoint> recording_since_;
  std::map<SessionKey, Entry> entries_;
  Members members_;
  std::vector<PendingGrant> unsent_;
  /** The shortest interval that one of them asks for. */
  base::Duration unsent_interval_ = base::Duration::max();
  std::optional<base::TimePoint> last_flush_;
  std::uint64_t newest_batch_ = 0;
  /** No majority has recorded the newest batch yet. */
  bool batch_under_way_ = false;
  /** When the flush timer ends, while it runs. */
  base::TimePoint flush_due_;
  base::TimerPtr flush_timer_;
  base::TimerPtr sweep_timer_;
  std::set<ReadPtr> reads_;
  /** Expires with this object, so that late callbacks find it gone. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::sessions
