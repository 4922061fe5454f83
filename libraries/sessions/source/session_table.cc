#include "switchsaddle/sessions/session_table.h"

#include <utility>

#include "recording_eligibility.h"
#include "session_granter.h"
#include "session_reader.h"
#include "session_records.h"

namespace switchsaddle::sessions {

SessionTable::SessionTable(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                           journal::Journal& journal, SessionTimes times, CoreView& view,
                           SessionTableFaults faults)
    : calls_(calls),
      view_(view),
      core_limit_(times.core_limit),
      eligibility_(
          std::make_unique<RecordingEligibility>(dispatcher, view, times.core_limit, faults)),
      records_(std::make_unique<SessionRecords>(dispatcher, journal, times.core_limit)),
      granter_(std::make_unique<SessionGranter>(dispatcher, calls, times, view, *eligibility_,
                                                *records_)),
      reader_(
          std::make_unique<SessionReader>(dispatcher, calls, times, view, *eligibility_, faults)),
      expiry_timer_(dispatcher.createTimer([this] { removeExpired(); })) {
  expiry_timer_->enable(core_limit_);
  eligibility_->update();
  registerHandlers();
}

SessionTable::~SessionTable() = default;

void SessionTable::registerHandlers() {
  calls_.handle<wire::SessionOpenRequest>(callbacks_.guard(
      [this](const base::NodeAddress& /*from*/, const wire::SessionOpenRequest& request,
             transport::ReplyFunction reply) { granter_->onOpen(request, std::move(reply)); }));
  calls_.handle<wire::SessionRecordBatch>(callbacks_.guard(
      [this](const base::NodeAddress& /*from*/, const wire::SessionRecordBatch& batch,
             const transport::ReplyFunction& reply) { onBatch(batch, reply); }));
  calls_.handle<wire::SessionTableRequest>(callbacks_.guard(
      [this](const base::NodeAddress& /*from*/, const wire::SessionTableRequest& request,
             const transport::ReplyFunction& reply) {
        const bool unusable = recovering() || !eligibility_->isCurrentEpoch(request.set_epoch);
        reply(wire::SessionTableReply{unusable, localLagging(request.below_version)});
      }));
}

void SessionTable::onBatch(const wire::SessionRecordBatch& batch,
                           const transport::ReplyFunction& reply) {
  eligibility_->update();
  if (!view_.mayVote() || !eligibility_->isCurrentEpoch(batch.set_epoch)) {
    reply(wire::SessionRecordBatchReply{});
    return;
  }
  for (const wire::SessionRecord& record : batch.records) {
    records_->store(record);
  }
  reply(wire::SessionRecordBatchReply{true, view_.acceptedVersion()});
}

void SessionTable::removeExpired() {
  eligibility_->update();
  records_->removeExpired();
  expiry_timer_->enable(core_limit_);
}

bool SessionTable::recovering() const {
  return eligibility_->recovering();
}

void SessionTable::setGrantSource(GrantSource source) {
  granter_->setGrantSource(std::move(source));
}

void SessionTable::setRecordListener(RecordListener listener) {
  records_->setListener(std::move(listener));
}

void SessionTable::readLive(LiveSessionsCallback callback) {
  readLagging(UINT64_MAX, std::move(callback));
}

void SessionTable::readLagging(std::uint64_t version, LiveSessionsCallback callback) {
  reader_->read(version, std::move(callback));
}

void SessionTable::visitLocal(
    const std::function<void(const wire::SessionRecord&)>& visitor) const {
  records_->visitLive(visitor);
}

std::vector<wire::SessionTableEntry> SessionTable::localSessions() const {
  return records_->liveSessions();
}

std::vector<wire::SessionTableEntry> SessionTable::localLagging(std::uint64_t version) const {
  return records_->laggingSessions(version);
}

}  // namespace switchsaddle::sessions
