#include "session_reader.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::sessions {

SessionReader::SessionReader(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                             SessionTimes times, const CoreView& view,
                             const RecordingEligibility& eligibility, SessionTableFaults faults)
    : dispatcher_(dispatcher),
      calls_(calls),
      times_(times),
      view_(view),
      eligibility_(eligibility),
      faults_(faults) {}

base::Duration SessionReader::roundLimit() const {
  if (faults_.unbounded_read) {
    return times_.read_deadline;
  }
  // A fifth of the difference is a margin for clocks that run at different speeds.
  return (times_.core_limit - times_.front_limit) * 4 / 5;
}

void SessionReader::read(std::uint64_t below_version, LiveSessionsCallback callback) {
  auto read = std::make_shared<Read>();
  read->below_version = below_version;
  read->callback = std::move(callback);
  read->deadline = dispatcher_.now() + times_.read_deadline;
  read->timer = dispatcher_.createTimer(callbacks_.guard([this, weak = std::weak_ptr(read)] {
    if (const ReadPtr pending = weak.lock()) {
      startRound(pending);
    }
  }));
  reads_.insert(read);
  startRound(read);
}

void SessionReader::startRound(const ReadPtr& read) {
  const base::TimePoint now = dispatcher_.now();
  if (now >= read->deadline) {
    finish(read, base::ResultCode::NoQuorum);
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
                callbacks_.guard([this, read, round, peer](const transport::CallResult& result) {
                  onTable(read, round, peer, result);
                }));
  }
}

void SessionReader::onTable(const ReadPtr& read, std::uint64_t round, const base::NodeAddress& peer,
                            const transport::CallResult& result) {
  const base::TimePoint now = dispatcher_.now();
  const bool in_time =
      now < read->deadline && round == read->round && now < read->round_started + roundLimit();
  const auto* table = result.as<wire::SessionTableReply>();
  const bool usable = table != nullptr && !table->recovering && read->callback;
  if (!usable || !in_time || !eligibility_.isCurrentEpoch(read->set_epoch)) {
    return;
  }
  read->answered.insert(peer);
  for (const wire::SessionTableEntry& entry : table->sessions) {
    merge(*read, entry);
  }
  if (view_.quorum(read->answered)) {
    finish(read, base::ResultCode::Ok);
  }
}

void SessionReader::merge(Read& read, const wire::SessionTableEntry& entry) {
  const SessionKey key{entry.record.front, entry.record.instance};
  wire::SessionTableEntry& merged = read.live.try_emplace(key, entry).first->second;
  const auto applied = std::max(merged.record.applied_version, entry.record.applied_version);
  if (entry.record.sequence > merged.record.sequence) {
    merged.record = entry.record;
  }
  merged.record.applied_version = applied;
  merged.remaining_ms = std::max(merged.remaining_ms, entry.remaining_ms);
}

void SessionReader::finish(ReadPtr read, base::ResultCode code) {
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

}  // namespace switchsaddle::sessions
