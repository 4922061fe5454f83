#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/sessions/core_view.h"
#include "switchsaddle/sessions/session_directory.h"
#include "switchsaddle/sessions/session_times.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::sessions {

class RecordingEligibility;
class SessionGranter;
class SessionReader;
class SessionRecords;

/** Test-only deviations, each of which shows that a rule is needed. Never set in a daemon. */
struct SessionTableFaults {
  /** Answers table requests from the start, as if no record could be missing. */
  bool skip_recovery = false;
  /** Bounds the time between the answers of one read by the read deadline only. */
  bool unbounded_read = false;
  /** Records sessions for, and answers, cores that count majorities in another acceptor set. */
  bool ignore_epoch = false;
};

/**
 * A core node's table of front sessions. Grants a session once a majority of cores has recorded it,
 * stores the records its peers send, and reads the live sessions of the fleet.
 *
 * Invariant: a front that a completed readLive() does not return dispatches nothing until it has
 * opened a new session. That session requires a version at least as new as every version accepted
 * at a majority before the read. The invariant rests on five rules:
 *
 * - a session expires later at a core than at its front;
 * - a core that may have missed records does not count in reads for one core limit;
 * - all answers of one read are given within the difference of the two limits;
 * - a front takes the required version only from a request made after its session was first
 *   granted;
 * - majorities are counted among cores of one set epoch, and a core that joins counts in reads only
 *   one core limit after its set was committed. Until then the majority of the previous set could
 *   still grant sessions that the joining core never records.
 *
 * Runs on the control strand.
 */
class SessionTable : public SessionDirectory {
 public:
  /** Adds data for the front to the grant of a session. */
  using GrantSource =
      std::function<void(const wire::SessionRecord& record, wire::SessionOpenReply& granted)>;
  using RecordListener = std::function<void(const wire::SessionRecord& record)>;

  SessionTable(base::Dispatcher& dispatcher, transport::PeerCalls& calls, journal::Journal& journal,
               SessionTimes times, CoreView& view, SessionTableFaults faults = {});
  ~SessionTable() override;
  SessionTable(const SessionTable&) = delete;
  SessionTable& operator=(const SessionTable&) = delete;

  void readLive(LiveSessionsCallback callback) override;
  void readLagging(std::uint64_t version, LiveSessionsCallback callback) override;
  std::vector<wire::SessionTableEntry> localSessions() const override;
  std::vector<wire::SessionTableEntry> localLagging(std::uint64_t version) const override;
  /** Calls the visitor for each live session in this node's table, without copying its record. */
  void visitLocal(const std::function<void(const wire::SessionRecord&)>& visitor) const;
  void setGrantSource(GrantSource source);
  /** @param listener called for each record that is newer than its session's previous record. */
  void setRecordListener(RecordListener listener);
  /** Whether sessions granted before may be missing from this node's table. */
  bool recovering() const;

 private:
  void registerHandlers();
  void onBatch(const wire::SessionRecordBatch& batch, const transport::ReplyFunction& reply);
  void removeExpired();

  transport::PeerCalls& calls_;
  CoreView& view_;
  base::Duration core_limit_;
  std::unique_ptr<RecordingEligibility> eligibility_;
  std::unique_ptr<SessionRecords> records_;
  std::unique_ptr<SessionGranter> granter_;
  std::unique_ptr<SessionReader> reader_;
  base::TimerPtr expiry_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::sessions
