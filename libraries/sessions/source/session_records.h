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

/** The fronts of all sessions on record that are not closed. */
struct FrontMembership {
  /** In ascending order. */
  std::vector<base::NodeAddress> fronts;
  std::uint64_t digest = 0;
};

/**
 * The session records at one core. A record expires one core limit after it was received. Two
 * instances at one front address are kept side by side until they expire: nothing in a record shows
 * which process is the newer, and a late record of the one that ended must not hide the running
 * one. Runs on the control strand.
 */
class SessionRecords {
 public:
  using RecordListener = std::function<void(const wire::SessionRecord& record)>;
  using Visitor = std::function<void(const wire::SessionRecord& record)>;

  SessionRecords(const base::Dispatcher& dispatcher, journal::Journal& journal,
                 base::Duration core_limit);

  /** @param listener called for each record that is newer than the one before of its session. */
  void setListener(RecordListener listener) { listener_ = std::move(listener); }
  /** Stores the record where its sequence is above that of the one on record. */
  void store(const wire::SessionRecord& record);
  /** Whether the record shows a version that its front has applied since the one on record. */
  bool showsNewerVersion(const wire::SessionRecord& record) const;
  void removeExpired();

  /** Calls the visitor for each live session. */
  void visitLive(const Visitor& visitor) const;
  /** @return the live sessions with complete records. */
  std::vector<wire::SessionTableEntry> liveSessions() const;
  /** @return the live sessions of fronts with an older version than this, in bare records. */
  std::vector<wire::SessionTableEntry> laggingSessions(std::uint64_t version) const;
  /** @return the fronts, computed again only where they may have changed. */
  const FrontMembership& fronts();

 private:
  struct Entry {
    wire::SessionRecord record;
    base::TimePoint expires_at;
  };

  static bool isLive(const Entry& entry, base::TimePoint now);
  /** Journals which instances at the record's address have sessions now. */
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
