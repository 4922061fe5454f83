#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "recording_eligibility.h"
#include "session_records.h"
#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::sessions {

/**
 * Grants sessions. The records of the requests received within an interval are sent to all cores in
 * one batch. The sessions are granted once a majority of the same acceptor set has recorded the
 * batch. The next batch waits until a majority has recorded the previous one, up to a maximum time,
 * so that slow cores receive fewer and larger batches. Runs on the control strand.
 */
class SessionGranter {
 public:
  SessionGranter(base::Dispatcher& dispatcher, transport::PeerCalls& calls, SessionTimes times,
                 const CoreView& view, const RecordingEligibility& eligibility,
                 SessionRecords& records);

  void setGrantSource(SessionTable::GrantSource source) { grant_source_ = std::move(source); }
  void onOpen(const wire::SessionOpenRequest& request, transport::ReplyFunction reply);

 private:
  struct PendingGrant {
    wire::SessionRecord record;
    std::uint64_t members_digest = 0;
    transport::ReplyFunction reply;
    base::TimePoint expires_at;
  };
  /** Records sent to all cores together. */
  struct Batch {
    std::uint64_t number = 0;
    std::uint64_t set_epoch = 0;
    std::vector<PendingGrant> grants;
    /** The cores that have recorded the batch. */
    std::set<base::NodeAddress> recorded_at;
    /** Highest version that any of them has accepted. */
    std::uint64_t committed_version = 0;
    /** Whether a majority has recorded the batch. */
    bool recorded = false;
  };

  /** Schedules the next batch for when the interval has passed since the last one and a majority
   * has recorded that. An earlier schedule is kept. */
  void scheduleFlush(base::Duration interval);
  void flush();
  void onBatchReply(const base::NodeAddress& peer, Batch& batch,
                    const transport::CallResult& result);
  void onRecorded(Batch& batch);
  void grant(PendingGrant& pending, std::uint64_t committed_version);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  SessionTimes times_;
  const CoreView& view_;
  const RecordingEligibility& eligibility_;
  SessionRecords& records_;
  SessionTable::GrantSource grant_source_;
  std::vector<PendingGrant> queue_;
  /** The shortest interval required by a record in the queue. */
  base::Duration queue_interval_ = base::Duration::max();
  std::optional<base::TimePoint> last_flush_;
  std::uint64_t newest_batch_ = 0;
  /** Whether the newest batch has not been recorded by a majority. */
  bool batch_in_flight_ = false;
  /** When the flush timer expires, while it runs. */
  base::TimePoint flush_due_;
  base::TimerPtr flush_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::sessions
