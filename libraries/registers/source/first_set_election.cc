#include "switchsaddle/registers/first_set_election.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::registers {

FirstSetElection::FirstSetElection(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                   Acceptor& acceptor, FirstSetElectionOptions options,
                                   std::string zone, WonListener won)
    : dispatcher_(dispatcher),
      calls_(calls),
      acceptor_(acceptor),
      options_(options),
      zone_(std::move(zone)),
      won_(std::move(won)) {
  calls_.handle<wire::FirstSetVoteRequest>(
      [this](const auto&, const wire::FirstSetVoteRequest& request, const auto& reply) {
        onRequest(request, reply);
      });
}

void FirstSetElection::setCores(std::vector<base::NodeAddress> cores) {
  std::ranges::sort(cores);
  if (cores != cores_) {
    cores_ = std::move(cores);
    unanimous_since_.reset();
  }
}

void FirstSetElection::noteAnswered(const wire::AcceptorMember& core) {
  answered_[core.address].insert(core.instance);
}

wire::AcceptorMember FirstSetElection::ownMember() const {
  return {calls_.localAddress(), acceptor_.instance()};
}

void FirstSetElection::onRequest(const wire::FirstSetVoteRequest& request,
                                 const transport::ReplyFunction& reply) {
  if (!acceptor_.loaded()) {
    return;
  }
  const bool granted = mayGrant(request);
  if (granted) {
    noteAnswered(request.candidate);
  }
  reply(wire::FirstSetVoteReply{granted, ownMember(), zone_});
}

bool FirstSetElection::mayGrant(const wire::FirstSetVoteRequest& request) const {
  if (!options_.enabled || acceptor_.hasState() || request.cores != cores_) {
    return false;
  }
  const auto answered = answered_.find(request.candidate.address);
  return answered == answered_.end() ||
         (answered->second.size() == 1 && answered->second.contains(request.candidate.instance));
}

bool FirstSetElection::isCandidate() const {
  return options_.enabled && acceptor_.loaded() && !acceptor_.hasState() && !cores_.empty() &&
         cores_.front() == calls_.localAddress();
}

void FirstSetElection::startRound(base::Duration call_timeout) {
  if (!isCandidate()) {
    return;
  }
  if (!isUnanimous()) {
    unanimous_since_.reset();
  }
  votes_.clear();
  const std::uint64_t round = ++round_;
  const wire::FirstSetVoteRequest request{ownMember(), cores_};
  for (const base::NodeAddress& core : cores_) {
    calls_.call(core, request, call_timeout,
                callbacks_.guard([this, round](const transport::CallResult& result) {
                  if (const auto* vote = result.as<wire::FirstSetVoteReply>()) {
                    onVote(round, *vote);
                  }
                }));
  }
}

void FirstSetElection::onVote(std::uint64_t round, const wire::FirstSetVoteReply& vote) {
  if (round != round_ || !vote.granted || !isCandidate()) {
    return;
  }
  votes_[vote.voter.address] = vote;
  if (!isUnanimous()) {
    return;
  }
  const base::TimePoint now = dispatcher_.now();
  if (!unanimous_since_) {
    unanimous_since_ = now;
  }
  if (now - *unanimous_since_ < options_.calm_time) {
    return;
  }
  std::vector<wire::AcceptorMember> members;
  for (const auto& [address, granted] : votes_) {
    members.push_back(granted.voter);
  }
  won_(members);
}

bool FirstSetElection::isUnanimous() const {
  std::set<std::string> zones;
  for (const auto& [address, vote] : votes_) {
    zones.insert(vote.zone);
  }
  return votes_.size() == cores_.size() && cores_.size() > options_.tolerated_core_losses &&
         zones.size() > options_.tolerated_zone_losses;
}

}  // namespace switchsaddle::registers
