#include "session_records.h"

#include <set>
#include <string>

#include "switchsaddle/sessions/address_digest.h"

namespace switchsaddle::sessions {

namespace {

/** @return the record without the front's load and demand, which are most of its size. Tables are
 * read many times a second while a change waits for fronts. */
wire::SessionRecord withoutLoadAndDemand(const wire::SessionRecord& record) {
  return {record.front,          record.instance, record.sequence, record.applied_version,
          record.applied_digest, record.zone,     record.closed};
}

std::uint32_t remainingMilliseconds(base::TimePoint end, base::TimePoint now) {
  return static_cast<std::uint32_t>(base::toMilliseconds(end - now));
}

}  // namespace

SessionRecords::SessionRecords(const base::Dispatcher& dispatcher, journal::Journal& journal,
                               base::Duration core_limit)
    : dispatcher_(dispatcher), journal_(journal), core_limit_(core_limit) {}

void SessionRecords::store(const wire::SessionRecord& record) {
  const SessionKey key{record.front, record.instance};
  const auto found = entries_.find(key);
  if (found != entries_.end() && record.sequence <= found->second.record.sequence) {
    return;
  }
  const bool opens_or_closes = found == entries_.end() || record.closed;
  if (opens_or_closes) {
    fronts_outdated_ = true;
  }
  entries_[key] = Entry{record, dispatcher_.now() + core_limit_};
  if (listener_) {
    listener_(record);
  }
  if (opens_or_closes) {
    journalSession(record);
  }
}

void SessionRecords::journalSession(const wire::SessionRecord& record) {
  const std::string front = record.front.toString();
  std::string instances;
  for (const auto& [key, entry] : entries_) {
    if (key.first == record.front && !entry.record.closed) {
      instances += (instances.empty() ? "live, instance " : " and ") + std::to_string(key.second);
    }
  }
  journal_.append(journal::Subject::Session, front, instances, 0);
}

bool SessionRecords::showsNewerVersion(const wire::SessionRecord& record) const {
  const auto found = entries_.find(SessionKey{record.front, record.instance});
  return found != entries_.end() && record.applied_version > found->second.record.applied_version;
}

void SessionRecords::removeExpired() {
  const base::TimePoint now = dispatcher_.now();
  std::vector<wire::SessionRecord> expired;
  std::erase_if(entries_, [this, &expired, now](const auto& item) {
    const Entry& entry = item.second;
    if (now < entry.expires_at) {
      return false;
    }
    if (!entry.record.closed) {
      expired.push_back(entry.record);
    }
    fronts_outdated_ = true;
    return true;
  });
  for (const wire::SessionRecord& record : expired) {
    journalSession(record);
  }
}

bool SessionRecords::isLive(const Entry& entry, base::TimePoint now) {
  return !entry.record.closed && now < entry.expires_at;
}

void SessionRecords::visitLive(const Visitor& visitor) const {
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [key, entry] : entries_) {
    if (isLive(entry, now)) {
      visitor(entry.record);
    }
  }
}

std::vector<wire::SessionTableEntry> SessionRecords::liveSessions() const {
  std::vector<wire::SessionTableEntry> sessions;
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [key, entry] : entries_) {
    if (isLive(entry, now)) {
      sessions.push_back({entry.record, remainingMilliseconds(entry.expires_at, now)});
    }
  }
  return sessions;
}

std::vector<wire::SessionTableEntry> SessionRecords::laggingSessions(std::uint64_t version) const {
  std::vector<wire::SessionTableEntry> sessions;
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [key, entry] : entries_) {
    if (isLive(entry, now) && entry.record.applied_version < version) {
      sessions.push_back(
          {withoutLoadAndDemand(entry.record), remainingMilliseconds(entry.expires_at, now)});
    }
  }
  return sessions;
}

const FrontMembership& SessionRecords::fronts() {
  if (fronts_outdated_) {
    std::set<base::NodeAddress> fronts;
    for (const auto& [key, entry] : entries_) {
      if (!entry.record.closed) {
        fronts.insert(entry.record.front);
      }
    }
    fronts_.fronts.assign(fronts.begin(), fronts.end());
    fronts_.digest = digestOfAddresses(fronts_.fronts);
    fronts_outdated_ = false;
  }
  return fronts_;
}

}  // namespace switchsaddle::sessions
