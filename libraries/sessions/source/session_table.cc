#include "switchsaddle/sessions/session_table.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/sessions/address_digest.h"

namespace switchsaddle::sessions {

/** One readLive() under way: rounds of questions until one of them finds a majority in time. */
struct SessionTable::Read {
  std::uint64_t below_version = UINT64_MAX;
  LiveSessionsCallback callback;
  base::TimePoint deadline;
  base::TimePoint round_started;
  std::uint64_t round = 0;
  std::uint64_t set_epoch = 0;
  std::set<base::NodeAddress> answered;
  std::map<SessionKey, wire::SessionTableEntry> live;
  base::TimerPtr timer;
};

SessionTable::SessionTable(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                           journal::Journal& journal, SessionTimes times, CoreView& view,
                           SessionTableFaults faults)
    : dispatcher_(dispatcher),
      calls_(calls),
      journal_(journal),
      times_(times),
      view_(view),
      faults_(faults) {
  flush_timer_ = dispatcher_.createTimer([this] { flush(); });
  sweep_timer_ = dispatcher_.createTimer([this] { sweep(); });
  sweep_timer_->enable(times_.core_limit);
  observeVote();
  const std::weak_ptr<bool> alive = alive_;
  calls_.handle<wire::SessionOpenRequest>([this, alive](const base::NodeAddress& /*from*/,
                                                        const wire::SessionOpenRequest& request,
                                                        transport::ReplyFunction reply) {
    if (!alive.expired()) {
      onOpen(request, std::move(reply));
    }
  });
  calls_.handle<wire::SessionRecordBatch>([this, alive](const base::NodeAddress& /*from*/,
                                                        const wire::SessionRecordBatch& batch,
                                                        const transport::ReplyFunction& reply) {
    if (!alive.expired()) {
      onBatch(batch, reply);
    }
  });
  calls_.handle<wire::SessionTableRequest>([this, alive](const base::NodeAddress& /*from*/,
                                                         const wire::SessionTableRequest& request,
                                                         const transport::ReplyFunction& reply) {
    if (!alive.expired()) {
      const bool unusable = recovering() || !sameEpoch(request.set_epoch);
      reply(wire::SessionTableReply{unusable, localLagging(request.below_version)});
    }
  });
}

void SessionTable::observeVote() const {
  if (!view_.mayVote() || (view_.joining() && !faults_.ignore_epoch)) {
    recording_since_.reset();
  } else if (!recording_since_) {
    recording_since_ = dispatcher_.now();
  }
}

bool SessionTable::sameEpoch(std::uint64_t set_epoch) const {
  return faults_.ignore_epoch || set_epoch == view_.setEpoch();
}

bool SessionTable::recovering() const {
  observeVote();
  if (!recording_since_) {
    return true;
  }
  return !faults_.skip_recovery && dispatcher_.now() < *recording_since_ + times_.core_limit;
}

wire::SessionRecord SessionTable::bareRecord(const wire::SessionRecord& record) {
  return {record.front,          record.instance, record.sequence, record.applied_version,
          record.applied_digest, record.zone,     record.closed};
}

bool SessionTable::isLive(const Entry& entry, base::TimePoint now) {
  return !entry.record.closed && now < entry.expires_at;
}

void SessionTable::visitLocal(
    const std::function<void(const wire::SessionRecord&)>& visitor) const {
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [key, entry] : entries_) {
    if (isLive(entry, now)) {
      visitor(entry.record);
    }
  }
}

std::vector<wire::SessionTableEntry> SessionTable::localLagging(std::uint64_t version) const {
  std::vector<wire::SessionTableEntry> sessions;
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [key, entry] : entries_) {
    if (isLive(entry, now) && entry.record.applied_version < version) {
      const auto remaining = base::toMilliseconds(entry.expires_at - now);
      sessions.push_back({bareRecord(entry.record), static_cast<std::uint32_t>(remaining)});
    }
  }
  return sessions;
}

std::vector<wire::SessionTableEntry> SessionTable::localSessions() const {
  std::vector<wire::SessionTableEntry> sessions;
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [key, entry] : entries_) {
    if (isLive(entry, now)) {
      const auto remaining = base::toMilliseconds(entry.expires_at - now);
      sessions.push_back({entry.record, static_cast<std::uint32_t>(remaining)});
    }
  }
  return sessions;
}

void SessionTable::onOpen(const wire::SessionOpenRequest& request, transport::ReplyFunction reply) {
  PendingGrant pending{request.record, request.members_digest, std::move(reply),
                       dispatcher_.now() + times_.front_limit};
  const bool urgent = carriesNewVersion(pending.record);
  unsent_.push_back(std::move(pending));
  scheduleFlush(urgent ? times_.applied_batch_interval : times_.batch_interval);
}

bool SessionTable::carriesNewVersion(const wire::SessionRecord& record) const {
  const auto known = entries_.find(SessionKey{record.front, record.instance});
  return known != entries_.end() && record.applied_version > known->second.record.applied_version;
}

void SessionTable::scheduleFlush(base::Duration interval) {
  const base::TimePoint now = dispatcher_.now();
  unsent_interval_ = std::min(unsent_interval_, interval);
  const base::Duration wait = batch_under_way_ ? times_.longest_batch_interval : unsent_interval_;
  const base::TimePoint due = last_flush_ ? std::max(now, *last_flush_ + wait) : now;
  if (flush_timer_->enabled() && flush_due_ <= due) {
    return;
  }
  flush_due_ = due;
  flush_timer_->enable(due - now);
}

void SessionTable::flush() {
  last_flush_ = dispatcher_.now();
  unsent_interval_ = base::Duration::max();
  const auto batch = std::make_shared<Batch>();
  batch->number = ++newest_batch_;
  batch->set_epoch = view_.setEpoch();
  batch->grants = std::exchange(unsent_, {});
  batch_under_way_ = true;
  wire::SessionRecordBatch records;
  records.set_epoch = batch->set_epoch;
  for (const PendingGrant& pending : batch->grants) {
    records.records.push_back(pending.record);
  }
  for (const base::NodeAddress& peer : view_.coreAddresses()) {
    calls_.call(peer, records, times_.front_limit,
                [this, alive = std::weak_ptr(alive_), peer, batch](const auto& result) {
                  if (!alive.expired()) {
                    onBatchReply(peer, *batch, result);
                  }
                });
  }
}

void SessionTable::onBatch(const wire::SessionRecordBatch& batch,
                           const transport::ReplyFunction& reply) {
  observeVote();
  if (!view_.mayVote() || !sameEpoch(batch.set_epoch)) {
    reply(wire::SessionRecordBatchReply{});
    return;
  }
  for (const wire::SessionRecord& each : batch.records) {
    record(each);
  }
  reply(wire::SessionRecordBatchReply{true, view_.acceptedVersion()});
}

void SessionTable::record(const wire::SessionRecord& record) {
  const SessionKey key{record.front, record.instance};
  const auto known = entries_.find(key);
  if (known != entries_.end() && record.sequence <= known->second.record.sequence) {
    return;
  }
  const bool changed = known == entries_.end() || record.closed;
  if (changed) {
    members_.outdated = true;
  }
  entries_[key] = Entry{record, dispatcher_.now() + times_.core_limit};
  if (record_listener_) {
    record_listener_(record);
  }
  if (changed) {
    journalSession(record);
  }
}

void SessionTable::journalSession(const wire::SessionRecord& record) {
  const std::string front = record.front.toString();
  std::string instances;
  for (const auto& [key, entry] : entries_) {
    if (key.first == record.front && !entry.record.closed) {
      instances += (instances.empty() ? "live, instance " : " and ") + std::to_string(key.second);
    }
  }
  journal_.append(journal::Subject::Session, front, instances, 0);
}

void SessionTable::onBatchReply(const base::NodeAddress& peer, Batch& batch,
                                const transport::CallResult& result) {
  const auto* answer = result.as<wire::SessionRecordBatchReply>();
  const bool counts = answer != nullptr && answer->recorded && sameEpoch(batch.set_epoch);
  if (!counts || batch.recorded) {
    return;
  }
  batch.recorded_at.insert(peer);
  batch.committed_version = std::max(batch.committed_version, answer->accepted_version);
  if (view_.quorum(batch.recorded_at)) {
    batch.recorded = true;
    onRecorded(batch);
  }
}

void SessionTable::onRecorded(Batch& batch) {
  if (batch.number == newest_batch_) {
    batch_under_way_ = false;
    if (!unsent_.empty()) {
      scheduleFlush(unsent_interval_);
    }
  }
  const base::TimePoint now = dispatcher_.now();
  for (PendingGrant& pending : batch.grants) {
    if (now < pending.expires_at) {
      grant(pending, batch.committed_version);
    }
  }
}

const SessionTable::Members& SessionTable::members() {
  if (members_.outdated) {
    std::set<base::NodeAddress> fronts;
    for (const auto& [key, entry] : entries_) {
      if (!entry.record.closed) {
        fronts.insert(entry.record.front);
      }
    }
    members_.fronts.assign(fronts.begin(), fronts.end());
    members_.digest = digestOfAddresses(members_.fronts);
    members_.outdated = false;
  }
  return members_;
}

void SessionTable::grant(PendingGrant& pending, std::uint64_t committed_version) {
  wire::SessionOpenReply granted;
  granted.granted = true;
  granted.sequence = pending.record.sequence;
  granted.committed_version = committed_version;
  const std::vector<base::NodeAddress> cores = view_.coreAddresses();
  granted.members_digest = base::combineHashes(digestOfAddresses(cores), members().digest);
  if (granted.members_digest != pending.members_digest) {
    granted.core_addresses = cores;
    granted.front_addresses = members().fronts;
  }
  if (grant_source_) {
    grant_source_(pending.record, granted);
  }
  pending.reply(std::move(granted));
}

base::Duration SessionTable::roundLimit() const {
  if (faults_.unbounded_read) {
    return times_.read_deadline;
  }
  // A fifth is left for clocks that run at different speeds.
  return (times_.core_limit - times_.front_limit) * 4 / 5;
}

void SessionTable::readLive(LiveSessionsCallback callback) {
  readLagging(UINT64_MAX, std::move(callback));
}

void SessionTable::readLagging(std::uint64_t version, LiveSessionsCallback callback) {
  auto read = std::make_shared<Read>();
  read->below_version = version;
  read->callback = std::move(callback);
  read->deadline = dispatcher_.now() + times_.read_deadline;
  read->timer = dispatcher_.createTimer([this, weak = std::weak_ptr(read)] {
    if (const ReadPtr held = weak.lock()) {
      startRound(held);
    }
  });
  reads_.insert(read);
  startRound(read);
}

void SessionTable::startRound(const ReadPtr& read) {
  const base::TimePoint now = dispatcher_.now();
  if (now >= read->deadline) {
    finishRead(read, base::ResultCode::NoQuorum);
    return;
  }
  read->round_started = now;
  read->set_epoch = view_.setEpoch();
  const std::uint64_t round = ++read->round;
  read->answered.clear();
  read->live.clear();
  read->timer->enable(std::min(roundLimit(), read->deadline - now));
  for (const base::NodeAddress& peer : view_.coreAddresses()) {
    calls_.call(peer, wire::SessionTableRequest{read->set_epoch, read->below_version},
                times_.read_deadline,
                [this, alive = std::weak_ptr(alive_), read, round, peer](const auto& result) {
                  if (!alive.expired()) {
                    onTable(read, round, peer, result);
                  }
                });
  }
}

void SessionTable::onTable(const ReadPtr& read, std::uint64_t round, const base::NodeAddress& peer,
                           const transport::CallResult& result) {
  const base::TimePoint now = dispatcher_.now();
  const bool in_time =
      now < read->deadline && round == read->round && now < read->round_started + roundLimit();
  const auto* table = result.as<wire::SessionTableReply>();
  const bool usable = table != nullptr && !table->recovering && read->callback;
  if (!usable || !in_time || !sameEpoch(read->set_epoch)) {
    return;
  }
  read->answered.insert(peer);
  for (const wire::SessionTableEntry& entry : table->sessions) {
    const SessionKey key{entry.record.front, entry.record.instance};
    wire::SessionTableEntry& merged = read->live.try_emplace(key, entry).first->second;
    const auto applied = std::max(merged.record.applied_version, entry.record.applied_version);
    if (entry.record.sequence > merged.record.sequence) {
      merged.record = entry.record;
    }
    merged.record.applied_version = applied;
    merged.remaining_ms = std::max(merged.remaining_ms, entry.remaining_ms);
  }
  if (view_.quorum(read->answered)) {
    finishRead(read, base::ResultCode::Ok);
  }
}

void SessionTable::finishRead(ReadPtr read, base::ResultCode code) {
  const LiveSessionsCallback callback = std::exchange(read->callback, nullptr);
  read->timer->disable();
  reads_.erase(read);
  std::vector<wire::SessionTableEntry> live;
  if (code == base::ResultCode::Ok) {
    for (const auto& [key, entry] : read->live) {
      live.push_back(entry);
    }
  }
  callback(code, live);
}

void SessionTable::sweep() {
  observeVote();
  const base::TimePoint now = dispatcher_.now();
  std::vector<wire::SessionRecord> lapsed;
  std::erase_if(entries_, [this, &lapsed, now](const auto& item) {
    const Entry& entry = item.second;
    if (now < entry.expires_at) {
      return false;
    }
    if (!entry.record.closed) {
      lapsed.push_back(entry.record);
    }
    members_.outdated = true;
    return true;
  });
  for (const wire::SessionRecord& record : lapsed) {
    journalSession(record);
  }
  sweep_timer_->enable(times_.core_limit);
}

}  // namespace switchsaddle::sessions
