#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "recording_eligibility.h"
#include "session_records.h"
#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/sessions/session_directory.h"
#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::sessions {

/**
 * Reads the live sessions of the fleet from a majority of cores. All answers of one read must be
 * given within roundLimit(). Otherwise the read discards them and starts another round.
 * Runs on the control strand.
 */
class SessionReader {
 public:
  SessionReader(base::Dispatcher& dispatcher, transport::PeerCalls& calls, SessionTimes times,
                const CoreView& view, const RecordingEligibility& eligibility,
                SessionTableFaults faults);

  /** Reads the sessions of fronts with a version below `below_version` in force. */
  void read(std::uint64_t below_version, LiveSessionsCallback callback);

 private:
  /** One read in progress. */
  struct Read {
    std::uint64_t below_version = UINT64_MAX;
    /** Empty once the read has ended. */
    LiveSessionsCallback callback;
    base::TimePoint deadline;
    base::TimePoint round_started;
    std::uint64_t round = 0;
    std::uint64_t set_epoch = 0;
    /** The cores that have answered in the present round. */
    std::set<base::NodeAddress> answered;
    std::map<SessionKey, wire::SessionTableEntry> live;
    base::TimerPtr timer;
  };
  using ReadPtr = std::shared_ptr<Read>;

  void startRound(const ReadPtr& read);
  void onTable(const ReadPtr& read, std::uint64_t round, const base::NodeAddress& peer,
               const transport::CallResult& result);
  static void merge(Read& read, const wire::SessionTableEntry& entry);
  /** @param read by value, since it must outlive its removal from `reads_`. */
  void finish(ReadPtr read, base::ResultCode code);
  /** @return the maximum time between the start of a round and an answer that counts. */
  base::Duration roundLimit() const;

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  SessionTimes times_;
  const CoreView& view_;
  const RecordingEligibility& eligibility_;
  SessionTableFaults faults_;
  std::set<ReadPtr> reads_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::sessions
