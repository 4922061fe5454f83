#include "switchsaddle/lease/lease_granter.h"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/lease/granter_set.h"

namespace switchsaddle::lease {

namespace {

constexpr std::string_view KeyPrefix = "lease/";

base::Duration durationOf(const wire::LeaseRequest& request) {
  return std::chrono::milliseconds(request.duration_ms);
}

}  // namespace

LeaseGranter::LeaseGranter(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                           storage::RecordStore& store, journal::Journal& journal, LeaseTimes times,
                           LeaseGranterFaults faults)
    : dispatcher_(dispatcher),
      store_(store),
      journal_(journal),
      times_(times),
      faults_(faults),
      voting_since_(dispatcher.now()) {
  calls.handle<wire::LeaseRequest>(callbacks_.guard(
      [this](const base::NodeAddress& /*from*/, const wire::LeaseRequest& request,
             transport::ReplyFunction reply) { onRequest(request, std::move(reply)); }));
  calls.handle<wire::LeaseRelease>(
      callbacks_.guard([this](const base::NodeAddress& /*from*/, const wire::LeaseRelease& release,
                              const transport::ReplyFunction& reply) {
        onRelease(release);
        reply(wire::Acknowledgement{});
      }));
}

void LeaseGranter::load(const storage::OpenedStore& opened) {
  for (const auto& [key, bytes] : opened.records) {
    if (!key.starts_with(KeyPrefix)) {
      continue;
    }
    std::istringstream text(bytes);
    std::uint64_t term = 0;
    std::uint64_t instance = 0;
    if (!(text >> term >> instance)) {
      throw base::Error(
          base::ResultCode::RecordCorrupt,
          "stored lease is not of the form \"<term> <holder instance>\" (two decimal numbers)",
          key);
    }
    Lease& lease = leases_[key.substr(KeyPrefix.size())];
    lease.highest_term = term;
    lease.holder_instance = instance;
  }
}

storage::Record LeaseGranter::makeRecord(const std::string& name, const Lease& lease) {
  return {std::string(KeyPrefix) + name,
          std::to_string(lease.highest_term) + " " + std::to_string(lease.holder_instance), false};
}

std::vector<storage::Record> LeaseGranter::records() const {
  std::vector<storage::Record> records;
  for (const auto& [name, lease] : leases_) {
    if (lease.highest_term != 0) {
      records.push_back(makeRecord(name, lease));
    }
  }
  return records;
}

wire::LeaseReply LeaseGranter::makeReply(const Lease& lease, bool granted) const {
  wire::LeaseReply reply;
  reply.granted = granted;
  reply.term = lease.highest_term;
  reply.holder = lease.holder;
  const base::Duration remaining = lease.expires_at - dispatcher_.now();
  reply.remaining_ms =
      static_cast<std::uint32_t>(std::max<std::int64_t>(0, base::toMilliseconds(remaining)));
  return reply;
}

bool LeaseGranter::updateVoting() {
  if (may_vote_ && !may_vote_()) {
    voting_since_.reset();
    return false;
  }
  if (!voting_since_) {
    voting_since_ = dispatcher_.now();
  }
  return true;
}

bool LeaseGranter::mayGrant(const wire::LeaseRequest& request) {
  if (!updateVoting()) {
    return false;
  }
  const bool recovering =
      !faults_.skip_recovery && dispatcher_.now() < *voting_since_ + times_.duration;
  const bool duration_fits = durationOf(request) <= times_.duration;
  const bool epoch_fits =
      faults_.ignore_epoch || !epoch_source_ || epochOfTerm(request.term) == epoch_source_();
  return !recovering && duration_fits && epoch_fits;
}

bool LeaseGranter::hasHolder(const std::string& name) const {
  const auto found = leases_.find(name);
  return found != leases_.end() && found->second.renewed &&
         dispatcher_.now() < found->second.expires_at;
}

void LeaseGranter::onRequest(const wire::LeaseRequest& request, transport::ReplyFunction reply) {
  Lease& lease = leases_[request.name];
  if (!mayGrant(request)) {
    reply(makeReply(lease, false));
    return;
  }
  const base::TimePoint now = dispatcher_.now();
  const bool same_holder =
      lease.holder_instance == request.holder_instance && lease.holder == request.holder;
  if (same_holder && request.term == lease.highest_term && lease.durable) {
    lease.holder = request.holder;
    lease.expires_at = now + durationOf(request);
    lease.renewed = true;
    reply(makeReply(lease, true));
    return;
  }
  const bool held_by_rival = now < lease.expires_at && !same_holder;
  if (held_by_rival || !lease.durable || request.term <= lease.highest_term) {
    reply(makeReply(lease, false));
    return;
  }
  grantNewTerm(request, std::move(reply));
}

void LeaseGranter::grantNewTerm(const wire::LeaseRequest& request, transport::ReplyFunction reply) {
  Lease& lease = leases_[request.name];
  const bool is_same_holder = lease.holder_instance == request.holder_instance;
  lease.renewed = lease.renewed && is_same_holder;
  lease.highest_term = request.term;
  lease.durable = false;
  lease.holder = request.holder;
  lease.holder_instance = request.holder_instance;
  lease.expires_at = dispatcher_.now() + durationOf(request);
  store_.commit({makeRecord(request.name, lease)},
                callbacks_.guard([this, request, reply = std::move(reply)](base::ResultCode code) {
                  onCommitted(request, code, reply);
                }));
}

void LeaseGranter::onCommitted(const wire::LeaseRequest& request, base::ResultCode code,
                               const transport::ReplyFunction& reply) {
  Lease& lease = leases_[request.name];
  lease.durable = true;
  const bool synced = code == base::ResultCode::Ok;
  if (!synced) {
    // highest_term is kept, so that the next grant needs a higher term.
    lease.holder_instance = 0;
    lease.expires_at = dispatcher_.now();
    if (commit_failure_listener_) {
      commit_failure_listener_(code);
    }
  }
  const bool still_held = dispatcher_.now() < lease.expires_at;
  journal_.append(journal::Subject::Lease, request.name, still_held ? lease.holder.toString() : "",
                  lease.highest_term);
  reply(makeReply(lease, synced && still_held));
}

void LeaseGranter::onRelease(const wire::LeaseRelease& release) {
  const auto found = leases_.find(release.name);
  if (found == leases_.end()) {
    return;
  }
  Lease& lease = found->second;
  const bool is_holder =
      lease.holder_instance == release.holder_instance && lease.highest_term == release.term;
  if (!is_holder) {
    return;
  }
  lease.holder_instance = 0;
  lease.expires_at = dispatcher_.now();
  journal_.append(journal::Subject::Lease, release.name, "", lease.highest_term);
}

}  // namespace switchsaddle::lease
