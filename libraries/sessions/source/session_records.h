#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::sessions {

/** A front process: its address and its random instance. */
using SessionKey = std::pair<base::NodeAddress, std::uint64_t>;

/** The fronts of all recorded sessions that are not closed. */
struct FrontMembership {
  /** In ascending order. */
  std::vector<base::NodeAddress> fronts;
  std::uint64_t digest = 0;
};

/**
 * The session records at one core. A record expires one core limit after it was received. The
 * records of two instances at one front address are kept until each expires: nothing in a record
 * shows which process is the newer, and a late record of the ended process must not replace that of
 * the running one. Runs on the control strand.
 */
class SessionRecords {
 public:
  using RecordListener = std::function<void(const wire::SessionRecord& record)>;
  using Visitor = std::function<void(const wire::SessionRecord& record)>;

  SessionRecords(const base::Dispatcher& dispatcher, journal::Journal& journal,
                 base::Duration core_limit);

  /** @param listener called for each record that is newer than its session's previous record. */
  void setListener(RecordListener listener) { listener_ = std::move(listener); }
  /** Stores the record if its sequence is above that of the session's stored record. */
  void store(const wire::SessionRecord& record);
  /** Whether the record shows a newer applied version than the session's stored record. */
  bool showsNewerVersion(const wire::SessionRecord& record) const;
  void removeExpired();

  /** Calls the visitor for each live session. */
  void visitLive(const Visitor& visitor) const;
  /** @return the live sessions with complete records. */
  std::vector<wire::SessionTableEntry> liveSessions() const;
  /** @return the live sessions of fronts with a version below `version`, without load and demand.
   */
  std::vector<wire::SessionTableEntry> laggingSessions(std::uint64_t version) const;
  /** @return the fronts, recomputed only if they may have changed. */
  const FrontMembership& fronts();

 private:
  struct Entry {
    wire::SessionRecord record;
    base::TimePoint expires_at;
  };

  static bool isLive(const Entry& entry, base::TimePoint now);
  /** Journals which instances at the record's address have sessions at present. */
  void journalSession(const wire::SessionRecord& record);

  const base::Dispatcher& dispatcher_;
  journal::Journal& journal_;
  base::Duration core_limit_;
  RecordListener listener_;
  std::map<SessionKey, Entry> entries_;
  FrontMembership fronts_;
  bool fronts_outdated_ = true;
};

}  // namespace switchsaddle::sessions
