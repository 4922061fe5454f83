#include "switchsaddle/core/membership_reconciler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "member_spread.h"

namespace switchsaddle::core {

namespace {

/** Questions to a new core before an operator is told that it does not answer. */
constexpr std::uint32_t InstanceAttempts = 5;

ToleratedLosses toleratedBy(const MembershipOptions& options) {
  return {options.tolerated_core_losses, options.tolerated_zone_losses};
}

const char* nameOf(SpreadShortfall shortfall) {
  switch (shortfall) {
    case SpreadShortfall::None:
      return "";
    case SpreadShortfall::Cores:
      return "cores";
    case SpreadShortfall::Zones:
      return "zones";
  }
  return "";
}

bool contains(const std::vector<wire::AcceptorMember>& members, std::uint64_t instance) {
  return std::any_of(members.begin(), members.end(),
                     [&](const auto& member) { return member.instance == instance; });
}

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
      timer_(dispatcher.createTimer([this] { check(); })) {}

void MembershipReconciler::start() {
  last_seen_.clear();
  short_since_.reset();
  shortfall_reported_ = false;
  timer_->enable(options_.check_interval);
  // A change which another driver left under way is finished first.
  change_.resume([](base::ResultCode) {});
}

void MembershipReconciler::stop() {
  timer_->disable();
  last_seen_.clear();
}

void MembershipReconciler::onCandidate(const wire::CoreAnnounce& announce) {
  const base::TimePoint now = dispatcher_.now();
  Candidate& candidate = candidates_[announce.member.instance];
  candidate.announce = announce;
  candidate.last_seen = now;
  forgetOldCandidates();
  const bool just_forwarded =
      candidate.forwarded_at && now - *candidate.forwarded_at < options_.forward_pause;
  if (just_forwarded || holds_lease_()) {
    return;
  }
  candidate.forwarded_at = now;
  for (const wire::AcceptorMember& member : acceptor_.acceptorSet().members) {
    if (member.address != calls_.localAddress()) {
      calls_.notify(member.address, announce);
    }
  }
}

void MembershipReconciler::forgetOldCandidates() {
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(candidates_, [&](const auto& item) {
    return now - item.second.last_seen > options_.candidate_lifetime;
  });
}

void MembershipReconciler::check() {
  timer_->enable(options_.check_interval);
  if (!holds_lease_()) {
    return;
  }
  forgetOldCandidates();
  sendHeartbeats();
  noteShortfall();
  if (!change_.active() && !replaceOneUnresponsive() && !addOneWanted()) {
    spreadOverZones();
  }
}

void MembershipReconciler::sendHeartbeats() {
  const base::TimePoint now = dispatcher_.now();
  const std::vector<wire::AcceptorMember>& members = acceptor_.acceptorSet().members;
  const auto has_left = [&members](const auto& item) {
    return !contains(members, item.first.instance);
  };
  std::erase_if(last_seen_, has_left);
  std::erase_if(zones_, has_left);
  const wire::CoreAnnounce question{{calls_.localAddress(), acceptor_.instance()}, true, {}};
  for (const wire::AcceptorMember& member : members) {
    last_seen_.try_emplace(member, now);
    calls_.call(member.address, question, options_.call_timeout,
                [this, alive = std::weak_ptr(alive_), member](const transport::CallResult& result) {
                  if (!alive.expired()) {
                    onSign(member, result);
                  }
                });
  }
}

void MembershipReconciler::onSign(const wire::AcceptorMember& member,
                                  const transport::CallResult& result) {
  const auto* reply = result.as<wire::CoreAnnounceReply>();
  const auto heard = last_seen_.find(member);
  if (reply == nullptr || heard == last_seen_.end()) {
    return;
  }
  const base::TimePoint now = dispatcher_.now();
  if (reply->member.instance == member.instance) {
    heard->second = now;
    zones_[member] = reply->zone;
  } else if (!contains(acceptor_.acceptorSet().members, reply->member.instance)) {
    // Another instance has the member's address, so that the member is gone for good.
    candidates_[reply->member.instance] = {
        {reply->member, reply->holds_state, reply->zone}, now, {}};
    heard->second = now - options_.unresponsive_timeout;
  }
}

bool MembershipReconciler::replaceOneUnresponsive() {
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [member, last_seen] : last_seen_) {
    const std::optional<wire::AcceptorMember> candidate = candidateFor(member);
    const bool same_address = candidate && candidate->address == member.address;
    const bool silent = now - last_seen >= options_.unresponsive_timeout;
    if (!candidate || !(silent || same_address)) {
      continue;
    }
    exchangeMember(member, *candidate);
    return true;
  }
  return false;
}

bool MembershipReconciler::addOneWanted() {
  const std::vector<wire::AcceptorMember>& members = acceptor_.acceptorSet().members;
  if (members.size() >= wantedMembers(toleratedBy(options_))) {
    return false;
  }
  const std::optional<wire::AcceptorMember> candidate =
      memberToAdd(placedMembers(), candidatesElsewhere());
  if (!candidate) {
    return false;
  }
  change_.add(*candidate, [this, alive = std::weak_ptr(alive_), candidate](base::ResultCode code) {
    if (!alive.expired()) {
      journal_.append(journal::Subject::AcceptorSet, "addition",
                      candidate->address.toString() + ": " + std::string(base::describe(code).name),
                      acceptor_.acceptorSet().epoch);
    }
  });
  return true;
}

void MembershipReconciler::spreadOverZones() {
  const std::optional<MemberExchange> exchange =
      exchangeForSpread(placedMembers(), candidatesElsewhere(), toleratedBy(options_));
  if (exchange) {
    exchangeMember(exchange->leaving, exchange->joining);
  }
}

void MembershipReconciler::exchangeMember(const wire::AcceptorMember& leaving,
                                          const wire::AcceptorMember& joining) {
  change_.replace(leaving, joining,
                  [this, alive = std::weak_ptr(alive_), leaving, joining](base::ResultCode code) {
                    if (!alive.expired()) {
                      journalReplacement(leaving, joining, code);
                    }
                  });
}

void MembershipReconciler::noteShortfall() {
  const SpreadShortfall shortfall = shortfallOf(placedMembers(), toleratedBy(options_));
  const base::TimePoint now = dispatcher_.now();
  if (shortfall == SpreadShortfall::None) {
    short_since_.reset();
  } else if (!short_since_) {
    short_since_ = now;
  }
  const bool lasting = short_since_ && now - *short_since_ >= options_.shortfall_patience;
  const bool is_over = shortfall == SpreadShortfall::None && shortfall_reported_;
  if ((lasting && !shortfall_reported_) || is_over) {
    shortfall_reported_ = lasting;
    if (shortfall_listener_) {
      shortfall_listener_(nameOf(shortfall));
    }
  }
}

std::vector<PlacedCore> MembershipReconciler::placedMembers(
    const wire::AcceptorMember* but_for) const {
  std::vector<PlacedCore> placed;
  for (const wire::AcceptorMember& member : acceptor_.acceptorSet().members) {
    if (but_for != nullptr && member == *but_for) {
      continue;
    }
    const auto zone = zones_.find(member);
    placed.push_back({member, zone == zones_.end() ? std::string{} : zone->second});
  }
  return placed;
}

std::vector<PlacedCore> MembershipReconciler::candidatesElsewhere() const {
  const std::vector<wire::AcceptorMember>& members = acceptor_.acceptorSet().members;
  std::vector<PlacedCore> candidates;
  for (const auto& [instance, candidate] : candidates_) {
    const base::NodeAddress& address = candidate.announce.member.address;
    const bool address_taken =
        std::any_of(members.begin(), members.end(),
                    [&address](const auto& member) { return member.address == address; });
    if (!address_taken) {
      candidates.push_back({candidate.announce.member, candidate.announce.zone});
    }
  }
  return candidates;
}

std::optional<wire::AcceptorMember> MembershipReconciler::candidateFor(
    const wire::AcceptorMember& member) const {
  const std::vector<wire::AcceptorMember>& members = acceptor_.acceptorSet().members;
  for (const auto& [instance, candidate] : candidates_) {
    const wire::AcceptorMember& announced = candidate.announce.member;
    if (announced.address == member.address && !contains(members, instance)) {
      return announced;
    }
  }
  return memberToAdd(placedMembers(&member), candidatesElsewhere());
}

void MembershipReconciler::replace(const base::NodeAddress& old_member,
                                   const base::NodeAddress& new_member, Callback callback) {
  const std::vector<wire::AcceptorMember>& members = acceptor_.acceptorSet().members;
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const auto& member) { return member.address == old_member; });
  if (found == members.end()) {
    const bool done = std::any_of(members.begin(), members.end(),
                                  [&](const auto& member) { return member.address == new_member; });
    callback(done ? base::ResultCode::Ok : base::ResultCode::InvalidValue);
    return;
  }
  queryInstance(new_member, InstanceAttempts,
                [this, alive = std::weak_ptr(alive_), leaving = *found,
                 callback = std::move(callback)](const transport::CallResult& result) {
                  const auto* reply = result.as<wire::CoreAnnounceReply>();
                  if (alive.expired() || reply == nullptr) {
                    callback(result.code == base::ResultCode::Ok ? base::ResultCode::InvalidValue
                                                                 : result.code);
                    return;
                  }
                  const wire::AcceptorMember joining = reply->member;
                  change_.replace(leaving, joining,
                                  [this, alive, leaving, joining, callback](base::ResultCode code) {
                                    if (!alive.expired()) {
                                      journalReplacement(leaving, joining, code);
                                    }
                                    callback(code);
                                  });
                });
}

void MembershipReconciler::queryInstance(
    const base::NodeAddress& address, std::uint32_t attempts,
    std::function<void(const transport::CallResult&)> callback) {
  const wire::CoreAnnounce question{{calls_.localAddress(), acceptor_.instance()}, true, {}};
  calls_.call(address, question, options_.call_timeout,
              [this, alive = std::weak_ptr(alive_), address, attempts,
               callback = std::move(callback)](const transport::CallResult& result) {
                const bool silent = result.code == base::ResultCode::PeerTimeout;
                if (silent && attempts > 1 && !alive.expired()) {
                  queryInstance(address, attempts - 1, callback);
                } else {
                  callback(result);
                }
              });
}

void MembershipReconciler::journalReplacement(const wire::AcceptorMember& old_member,
                                              const wire::AcceptorMember& new_member,
                                              base::ResultCode code) {
  const std::string outcome(base::describe(code).name);
  journal_.append(
      journal::Subject::AcceptorSet, "replacement",
      old_member.address.toString() + " by " + new_member.address.toString() + ": " + outcome,
      acceptor_.acceptorSet().epoch);
}

}  // namespace switchsaddle::core
