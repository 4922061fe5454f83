#include "lease_fleet.h"

#include <algorithm>

namespace switchsaddle::lease {

LeaseFleet::LeaseFleet(std::uint64_t seed, LeaseGranterFaults granter_faults,
                       LeaseHolderFaults holder_faults, LeaseTimes holder_times)
    : world(seed),
      random_(seed + 1),
      granter_faults_(granter_faults),
      holder_faults_(holder_faults),
      holder_times_(holder_times) {
  for (std::size_t index = 0; index < GranterCount + CandidateCount; ++index) {
    nodes.push_back(std::make_unique<LeaseNode>(world));
    nodes[index]->address = {"127.0.0." + std::to_string(index + 1), 7000};
  }
  for (const auto& node : nodes) {
    start(*node);
  }
}

std::vector<base::NodeAddress> LeaseFleet::coreAddresses() const {
  std::vector<base::NodeAddress> addresses;
  for (std::size_t index = 0; index < GranterCount; ++index) {
    addresses.push_back(nodes[index]->address);
  }
  return addresses;
}

void LeaseFleet::start(LeaseNode& node) {
  node.process.start();
  node.transport = network.attach(node.address, node.process);
  node.calls = std::make_unique<transport::PeerCalls>(node.process, *node.transport);
  node.journal = std::make_unique<journal::Journal>(node.process);
  node.store = std::make_unique<MemoryRecordStore>(world, node.process, node.disk);
  const std::vector<base::NodeAddress> granters = coreAddresses();
  if (std::find(granters.begin(), granters.end(), node.address) != granters.end()) {
    node.granter = std::make_unique<LeaseGranter>(node.process, *node.calls, *node.store,
                                                  *node.journal, LeaseTimes{}, granter_faults_);
    node.store->open([&node](base::ResultCode, const storage::OpenedStore& opened) {
      node.granter->load(opened);
    });
    return;
  }
  node.holder = std::make_unique<LeaseHolder>(node.process, *node.calls, random_, holder_times_,
                                              "watcher", *this, next_instance_++, holder_faults_);
  node.holder->start();
}

void LeaseFleet::kill(LeaseNode& node) {
  node.process.kill();
  node.holder.reset();
  node.granter.reset();
  node.store.reset();
  node.journal.reset();
  node.calls.reset();
  node.transport.reset();
}

LeaseNode* LeaseFleet::holder() {
  for (const auto& node : nodes) {
    if (node->holder && node->holder->held()) {
      return node.get();
    }
  }
  return nullptr;
}

void LeaseFleet::check() {
  std::size_t holders = 0;
  for (const auto& node : nodes) {
    if (!node->holder || !node->holder->held()) {
      continue;
    }
    ++holders;
    const std::uint64_t term = node->holder->term();
    const bool unchanged = node->holder.get() == last_holder_ && term == last_term;
    if (!unchanged && term <= last_term) {
      violation =
          "term " + std::to_string(term) + " was held after term " + std::to_string(last_term);
    }
    gains += unchanged ? 0 : 1;
    last_holder_ = node->holder.get();
    last_term = std::max(last_term, term);
  }
  if (holders > 1) {
    violation = "two holders at the same time";
  }
}

bool LeaseFleet::runUntil(const std::function<bool()>& condition, base::Duration limit) {
  const auto checked = [this, &condition] {
    check();
    return !violation.empty() || condition();
  };
  return world.runUntil(checked, limit) && violation.empty();
}

void LeaseFleet::injectFault() {
  LeaseNode& node = *nodes[random_.below(nodes.size())];
  LeaseNode& other = *nodes[random_.below(nodes.size())];
  switch (random_.below(8)) {
    case 0:
    case 1:
      if (node.process.running()) {
        kill(node);
      } else {
        start(node);
      }
      break;
    case 2:
    case 3:
      if (node.process.frozen()) {
        node.process.wake();
      } else if (node.process.running()) {
        node.process.freeze();
      }
      break;
    case 4:
      network.cut(node.address, other.address);
      break;
    case 5:
      network.healAll();
      break;
    case 6:
      repair();
      break;
    default:
      for (std::size_t index = 0; index < GranterCount && random_.chance(0.3); ++index) {
        kill(*nodes[index]);
        start(*nodes[index]);
      }
      break;
  }
}

void LeaseFleet::repair() {
  network.healAll();
  for (const auto& node : nodes) {
    if (!node->process.running()) {
      start(*node);
    } else if (node->process.frozen()) {
      node->process.wake();
    }
  }
}

}  // namespace switchsaddle::lease
