#include "switchsaddle/registers/bootstrap.h"

#include <algorithm>
#include <set>
#include <utility>

#include "acceptor_members.h"

namespace switchsaddle::registers {

Bootstrap::Bootstrap(base::Dispatcher& dispatcher, transport::PeerCalls& calls, Acceptor& acceptor,
                     BootstrapOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      acceptor_(acceptor),
      options_(std::move(options)),
      timer_(dispatcher_.createTimer([this] { announce(); })),
      election_(dispatcher, calls, acceptor, options_.election, options_.zone,
                [this](const auto& members) { commit(members); }) {
  election_.setCores(options_.initial_cores.empty() ? options_.seeds : options_.initial_cores);
  calls_.handle<wire::CoreAnnounce>([this](const auto&, const wire::CoreAnnounce& announce,
                                           const auto& reply) { onAnnounce(announce, reply); });
  calls_.handle<wire::InitialCores>(
      [this](const auto&, const wire::InitialCores& cores, const auto&) { onInitialCores(cores); });
}

void Bootstrap::start() {
  timer_->enable(base::Duration::zero());
}

void Bootstrap::setSeeds(std::vector<base::NodeAddress> seeds) {
  options_.seeds = std::move(seeds);
  if (options_.initial_cores.empty()) {
    election_.setCores(options_.seeds);
  }
}

wire::AcceptorMember Bootstrap::ownMember() const {
  return {calls_.localAddress(), acceptor_.instance()};
}

void Bootstrap::onAnnounce(const wire::CoreAnnounce& announce,
                           const transport::ReplyFunction& reply) {
  if (!acceptor_.loaded()) {
    return;
  }
  const wire::AcceptorSet& set = acceptor_.acceptorSet();
  if (announce.member.address == committer()) {
    answered_committers_.insert(announce.member.instance);
  }
  election_.noteAnswered(announce.member);
  reply(wire::CoreAnnounceReply{set, ownMember(), acceptor_.hasState(), options_.zone});
  const bool is_candidate = set.epoch != 0 && !containsInstance(set, announce.member.instance);
  if (is_candidate && listener_) {
    listener_(announce);
  }
}

void Bootstrap::announce() {
  timer_->enable(options_.announce_interval);
  if (!acceptor_.loaded() || containsInstance(acceptor_.acceptorSet(), acceptor_.instance())) {
    return;
  }
  const std::uint64_t round = ++round_;
  empty_cores_.clear();
  std::set<base::NodeAddress> targets(options_.initial_cores.begin(), options_.initial_cores.end());
  targets.insert(options_.seeds.begin(), options_.seeds.end());
  const wire::CoreAnnounce announcement{ownMember(), acceptor_.hasState(), options_.zone};
  for (const base::NodeAddress& target : targets) {
    calls_.call(target, announcement, options_.call_timeout,
                callbacks_.guard([this, round](const transport::CallResult& result) {
                  if (const auto* reply = result.as<wire::CoreAnnounceReply>()) {
                    onReply(round, *reply);
                  }
                }));
  }
  if (options_.initial_cores.empty()) {
    election_.startRound(options_.call_timeout);
  }
}

void Bootstrap::onReply(std::uint64_t round, const wire::CoreAnnounceReply& reply) {
  if (reply.acceptor_set.epoch > acceptor_.acceptorSet().epoch) {
    acceptor_.installSet(reply.acceptor_set, [](bool) {});
    return;
  }
  const bool is_empty = reply.acceptor_set.epoch == 0 && !reply.holds_state;
  if (round != round_ || !is_empty) {
    return;
  }
  empty_cores_[reply.member.address] = reply.member;
  if (reply.member.address == committer()) {
    offerInitialCores(reply.member);
  }
  commitFirstSet();
}

std::optional<base::NodeAddress> Bootstrap::committer() const {
  const auto& cores = options_.initial_cores;
  return cores.empty() ? std::nullopt : std::optional(*std::ranges::min_element(cores));
}

void Bootstrap::offerInitialCores(const wire::AcceptorMember& committer) {
  const bool is_only_instance =
      answered_committers_.empty() ||
      (answered_committers_.size() == 1 && answered_committers_.contains(committer.instance));
  const bool withholds = options_.test_withhold_initial_cores;
  if (committer.address != calls_.localAddress() && is_only_instance && !withholds) {
    calls_.notify(committer.address,
                  wire::InitialCores{committer.instance, options_.initial_cores});
  }
}

void Bootstrap::onInitialCores(const wire::InitialCores& cores) {
  const bool is_for_this_core = acceptor_.loaded() && cores.instance == acceptor_.instance();
  if (is_for_this_core && !acceptor_.hasState() && options_.initial_cores.empty()) {
    options_.initial_cores = cores.addresses;
  }
}

void Bootstrap::commitFirstSet() {
  if (acceptor_.hasState() || committer() != calls_.localAddress()) {
    return;
  }
  std::vector<wire::AcceptorMember> members;
  for (const base::NodeAddress& address : options_.initial_cores) {
    const auto found = empty_cores_.find(address);
    if (found == empty_cores_.end()) {
      return;
    }
    members.push_back(found->second);
  }
  commit(members);
}

void Bootstrap::commit(const std::vector<wire::AcceptorMember>& members) {
  wire::AcceptorSet first;
  first.epoch = 1;
  first.members = members;
  acceptor_.installSet(first, [this, first](bool synced) {
    if (synced) {
      publish(first);
    }
  });
}

void Bootstrap::publish(const wire::AcceptorSet& set) {
  for (const wire::AcceptorMember& member : set.members) {
    calls_.call(member.address, wire::AcceptorSetInstallRequest{set}, options_.call_timeout,
                [](const transport::CallResult&) {});
  }
}

}  // namespace switchsaddle::registers
