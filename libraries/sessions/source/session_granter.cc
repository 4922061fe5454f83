#include "session_granter.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/sessions/address_digest.h"

namespace switchsaddle::sessions {

SessionGranter::SessionGranter(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                               SessionTimes times, const CoreView& view,
                               const RecordingEligibility& eligibility, SessionRecords& records)
    : dispatcher_(dispatcher),
      calls_(calls),
      times_(times),
      view_(view),
      eligibility_(eligibility),
      records_(records),
      flush_timer_(dispatcher.createTimer([this] { flush(); })) {}

void SessionGranter::onOpen(const wire::SessionOpenRequest& request,
                            transport::ReplyFunction reply) {
  PendingGrant pending{request.record, request.members_digest, std::move(reply),
                       dispatcher_.now() + times_.front_limit};
  const bool urgent = records_.showsNewerVersion(pending.record);
  queue_.push_back(std::move(pending));
  scheduleFlush(urgent ? times_.applied_batch_interval : times_.batch_interval);
}

void SessionGranter::scheduleFlush(base::Duration interval) {
  const base::TimePoint now = dispatcher_.now();
  queue_interval_ = std::min(queue_interval_, interval);
  const base::Duration wait = batch_in_flight_ ? times_.longest_batch_interval : queue_interval_;
  const base::TimePoint due = last_flush_ ? std::max(now, *last_flush_ + wait) : now;
  if (flush_timer_->enabled() && flush_due_ <= due) {
    return;
  }
  flush_due_ = due;
  flush_timer_->enable(due - now);
}

void SessionGranter::flush() {
  last_flush_ = dispatcher_.now();
  queue_interval_ = base::Duration::max();
  const auto batch = std::make_shared<Batch>();
  batch->number = ++newest_batch_;
  batch->set_epoch = view_.setEpoch();
  batch->grants = std::exchange(queue_, {});
  batch_in_flight_ = true;
  wire::SessionRecordBatch request;
  request.set_epoch = batch->set_epoch;
  for (const PendingGrant& pending : batch->grants) {
    request.records.push_back(pending.record);
  }
  for (const base::NodeAddress& peer : view_.coreAddresses()) {
    calls_.call(peer, request, times_.front_limit,
                callbacks_.guard([this, peer, batch](const transport::CallResult& result) {
                  onBatchReply(peer, *batch, result);
                }));
  }
}

void SessionGranter::onBatchReply(const base::NodeAddress& peer, Batch& batch,
                                  const transport::CallResult& result) {
  const auto* reply = result.as<wire::SessionRecordBatchReply>();
  const bool counts =
      reply != nullptr && reply->recorded && eligibility_.isCurrentEpoch(batch.set_epoch);
  if (!counts || batch.recorded) {
    return;
  }
  batch.recorded_at.insert(peer);
  batch.committed_version = std::max(batch.committed_version, reply->accepted_version);
  if (view_.quorum(batch.recorded_at)) {
    batch.recorded = true;
    onRecorded(batch);
  }
}

void SessionGranter::onRecorded(Batch& batch) {
  if (batch.number == newest_batch_) {
    batch_in_flight_ = false;
    if (!queue_.empty()) {
      scheduleFlush(queue_interval_);
    }
  }
  const base::TimePoint now = dispatcher_.now();
  for (PendingGrant& pending : batch.grants) {
    if (now < pending.expires_at) {
      grant(pending, batch.committed_version);
    }
  }
}

void SessionGranter::grant(PendingGrant& pending, std::uint64_t committed_version) {
  wire::SessionOpenReply reply;
  reply.granted = true;
  reply.sequence = pending.record.sequence;
  reply.committed_version = committed_version;
  const std::vector<base::NodeAddress> cores = view_.coreAddresses();
  const FrontMembership& membership = records_.fronts();
  reply.members_digest = base::combineHashes(digestOfAddresses(cores), membership.digest);
  if (reply.members_digest != pending.members_digest) {
    reply.core_addresses = cores;
    reply.front_addresses = membership.fronts;
  }
  if (grant_source_) {
    grant_source_(pending.record, reply);
  }
  pending.reply(std::move(reply));
}

}  // namespace switchsaddle::sessions
