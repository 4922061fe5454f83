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

/** Test-only deviations that show that a rule is needed; never set in a daemon. */
struct SessionTableFaults {
  /** Answers table requests right after the start as if no record could be missing. */
  bool skip_recovery = false;
  /** Allows the answers of one read to lie as far apart as its deadline. */
  bool unbounded_read = false;
  /** Records for, and answers, cores that count majorities of another acceptor set. */
  bool ignore_epoch = false;
};

/**
 * A core node's table of front sessions. Grants a session once a majority of cores has recorded it,
 * stores the records its peers send, and reads the live sessions of the fleet.
 *
 * Invariant: a front that a completed readLive() does not return dispatches nothing until it has
 * opened again with a version at least as new as every one accepted at a majority before the read.
 * It rests on five rules:
 *
 * - records live longer at a core than at their front;
 * - a core that may have missed records does not count in reads for one core limit;
 * - all answers of one read lie within the difference of the two limits;
 * - a front takes its version only from a request made after its session was first granted;
 * - majorities are counted among cores of one set epoch, and a core that joins counts in reads only
 *   one core limit after its set was committed. Until then the majority of the previous set, which
 *   may grant sessions that it never records, could still grant.
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
  /** Calls the visitor for each live session recorded here, without a copy of its record. */
  void visitLocal(const std::function<void(const wire::SessionRecord&)>& visitor) const;
  void setGrantSource(GrantSource source);
  /** @param listener called for each record that is newer than the one before of its session. */
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
