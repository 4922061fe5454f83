#include "switchsaddle/core/membership/membership_reconciler.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::core {

namespace {

/** Number of queries to a new core before the operator's request fails. */
constexpr std::uint32_t InstanceQueryAttempts = 5;

}  // namespace

MembershipReconciler::MembershipReconciler(base::Dispatcher& dispatcher,
                                           transport::PeerCalls& calls, journal::Journal& journal,
                                           const registers::Acceptor& acceptor,
                                           registers::AcceptorSetChange& change,
                                           std::function<bool()> holds_lease,
                                           MembershipOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      journal_(journal),
      acceptor_(acceptor),
      change_(change),
      holds_lease_(std::move(holds_lease)),
      options_(options),
      timer_(dispatcher.createTimer([this] { check(); })),
      liveness_(options.unresponsive_timeout),
      candidates_(options.candidate_lifetime),
      shortfall_(options.shortfall_report_delay) {}

void MembershipReconciler::start() {
  liveness_.reset();
  shortfall_.reset();
  timer_->enable(options_.check_interval);
  // First completes a change that a previous lease holder left in progress.
  change_.resume([](base::ResultCode) {});
}

void MembershipReconciler::stop() {
  timer_->disable();
  liveness_.reset();
}

void MembershipReconciler::onCandidate(const wire::CoreAnnounce& announce) {
  const base::TimePoint now = dispatcher_.now();
  const std::uint64_t instance = announce.member.instance;
  candidates_.update(announce, now);
  candidates_.removeExpired(now);
  if (candidates_.forwardedWithin(instance, options_.forward_interval, now) || holds_lease_()) {
    return;
  }
  candidates_.noteForwarded(instance, now);
  for (const wire::AcceptorMember& member : members()) {
    if (member.address != calls_.localAddress()) {
      calls_.notify(member.address, announce);
    }
  }
}

void MembershipReconciler::check() {
  timer_->enable(options_.check_interval);
  if (!holds_lease_()) {
    return;
  }
  candidates_.removeExpired(dispatcher_.now());
  sendHeartbeats();
  updateShortfall();
  if (!change_.active() && !replaceUnresponsiveMember() && !addMissingMember()) {
    spreadOverZones();
  }
}

wire::CoreAnnounce MembershipReconciler::query() const {
  return {{calls_.localAddress(), acceptor_.instance()}, true, {}};
}

void MembershipReconciler::sendHeartbeats() {
  liveness_.setMembers(members(), dispatcher_.now());
  const wire::CoreAnnounce heartbeat = query();
  for (const wire::AcceptorMember& member : members()) {
    calls_.call(member.address, heartbeat, options_.call_timeout,
                callbacks_.guard([this, member](const transport::CallResult& result) {
                  onHeartbeatReply(member, result);
                }));
  }
}

void MembershipReconciler::onHeartbeatReply(const wire::AcceptorMember& member,
                                            const transport::CallResult& result) {
  const auto* reply = result.as<wire::CoreAnnounceReply>();
  if (reply == nullptr || !liveness_.tracks(member)) {
    return;
  }
  const base::TimePoint now = dispatcher_.now();
  const std::uint64_t instance = reply->member.instance;
  if (instance == member.instance) {
    liveness_.noteAlive(member, reply->zone, now);
    return;
  }
  const bool is_member =
      std::ranges::find(members(), instance, &wire::AcceptorMember::instance) != members().end();
  if (!is_member) {
    // Another instance has the member's address, so the member's instance will not return.
    candidates_.insert({reply->member, reply->holds_state, reply->zone}, now);
    liveness_.noteEnded(member, now);
  }
}

bool MembershipReconciler::replaceUnresponsiveMember() {
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [member, last_seen] : liveness_.lastSeen()) {
    const std::optional<wire::AcceptorMember> candidate = candidateFor(member);
    const bool same_address = candidate && candidate->address == member.address;
    if (candidate && (same_address || liveness_.isUnresponsive(last_seen, now))) {
      replaceMember(member, *candidate, [](base::ResultCode) {});
      return true;
    }
  }
  return false;
}

bool MembershipReconciler::addMissingMember() {
  if (members().size() >= requiredMembers(options_.tolerated)) {
    return false;
  }
  const std::optional<wire::AcceptorMember> candidate =
      memberToAdd(liveness_.placed(members()), candidates_.atOtherAddresses(members()));
  if (!candidate) {
    return false;
  }
  change_.add(*candidate, callbacks_.guard([this, candidate](base::ResultCode code) {
    journal_.append(journal::Subject::AcceptorSet, "addition",
                    candidate->address.toString() + ": " + std::string(base::describe(code).name),
                    acceptor_.acceptorSet().epoch);
  }));
  return true;
}

void MembershipReconciler::spreadOverZones() {
  const std::optional<MemberExchange> exchange = exchangeForSpread(
      liveness_.placed(members()), candidates_.atOtherAddresses(members()), options_.tolerated);
  if (exchange) {
    replaceMember(exchange->leaving, exchange->joining, [](base::ResultCode) {});
  }
}

void MembershipReconciler::replaceMember(const wire::AcceptorMember& leaving,
                                         const wire::AcceptorMember& joining,
                                         const Callback& callback) {
  change_.replace(leaving, joining,
                  callbacks_.guard([this, leaving, joining, callback](base::ResultCode code) {
                    journalReplacement(leaving, joining, code);
                    callback(code);
                  }));
}

void MembershipReconciler::updateShortfall() {
  const SpreadShortfall present = shortfallOf(liveness_.placed(members()), options_.tolerated);
  const std::optional<SpreadShortfall> report = shortfall_.update(present, dispatcher_.now());
  if (report && shortfall_listener_) {
    shortfall_listener_(*report);
  }
}

std::optional<wire::AcceptorMember> MembershipReconciler::candidateFor(
    const wire::AcceptorMember& member) const {
  const auto successor = candidates_.atAddress(member.address, members());
  return successor ? successor
                   : memberToAdd(liveness_.placed(members(), &member),
                                 candidates_.atOtherAddresses(members()));
}

void MembershipReconciler::replace(const base::NodeAddress& old_member,
                                   const base::NodeAddress& new_member, Callback callback) {
  const auto leaving = std::ranges::find(members(), old_member, &wire::AcceptorMember::address);
  if (leaving == members().end()) {
    const bool is_done =
        std::ranges::find(members(), new_member, &wire::AcceptorMember::address) != members().end();
    callback(is_done ? base::ResultCode::Ok : base::ResultCode::InvalidValue);
    return;
  }
  queryInstance(new_member, InstanceQueryAttempts,
                [this, leaving = *leaving,
                 callback = std::move(callback)](const transport::CallResult& result) {
                  if (const auto* reply = result.as<wire::CoreAnnounceReply>()) {
                    replaceMember(leaving, reply->member, callback);
                  } else {
                    callback(result.code == base::ResultCode::Ok ? base::ResultCode::InvalidValue
                                                                 : result.code);
                  }
                });
}

void MembershipReconciler::queryInstance(const base::NodeAddress& address, std::uint32_t attempts,
                                         const CallHandler& handler) {
  calls_.call(
      address, query(), options_.call_timeout,
      callbacks_.guard([this, address, attempts, handler](const transport::CallResult& result) {
        const bool timed_out = result.code == base::ResultCode::PeerTimeout;
        if (timed_out && attempts > 1) {
          queryInstance(address, attempts - 1, handler);
        } else {
          handler(result);
        }
      }));
}

void MembershipReconciler::journalReplacement(const wire::AcceptorMember& leaving,
                                              const wire::AcceptorMember& joining,
                                              base::ResultCode code) {
  const std::string outcome(base::describe(code).name);
  journal_.append(journal::Subject::AcceptorSet, "replacement",
                  leaving.address.toString() + " by " + joining.address.toString() + ": " + outcome,
                  acceptor_.acceptorSet().epoch);
}

}  // namespace switchsaddle::core
