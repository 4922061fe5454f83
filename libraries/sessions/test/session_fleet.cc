#include "session_fleet.h"

#include <algorithm>

namespace switchsaddle::sessions {

namespace {

using std::chrono::milliseconds;

/** The view of a core in a fleet whose acceptor set never changes. */
class FixedCoreView : public CoreView {
 public:
  FixedCoreView(std::vector<base::NodeAddress> cores, const std::uint64_t& accepted)
      : cores_(std::move(cores)), accepted_(accepted) {}
  std::vector<base::NodeAddress> coreAddresses() const override { return cores_; }
  bool quorum(const std::set<base::NodeAddress>& answered) const override {
    return answered.size() > cores_.size() / 2;
  }
  std::uint64_t acceptedVersion() const override { return accepted_; }
  bool mayVote() const override { return true; }

 private:
  std::vector<base::NodeAddress> cores_;
  const std::uint64_t& accepted_;
};

}  // namespace

SessionFleet::SessionFleet(std::uint64_t seed, FleetFaults faults)
    : world(seed), random(seed + 1), faults_(faults) {
  for (std::size_t index = 0; index < CoreCount + FrontCount; ++index) {
    nodes.push_back(std::make_unique<SessionNode>(world));
    nodes[index]->address = {"127.0.0." + std::to_string(index + 1), 7000};
  }
  for (const auto& node : nodes) {
    start(*node);
  }
}

std::vector<base::NodeAddress> SessionFleet::cores() const {
  std::vector<base::NodeAddress> addresses;
  for (std::size_t index = 0; index < CoreCount; ++index) {
    addresses.push_back(nodes[index]->address);
  }
  return addresses;
}

void SessionFleet::start(SessionNode& node) {
  node.process.start();
  node.transport = network.attach(node.address, node.process);
  node.calls = std::make_unique<transport::PeerCalls>(node.process, *node.transport);
  const std::vector<base::NodeAddress> addresses = cores();
  if (std::find(addresses.begin(), addresses.end(), node.address) != addresses.end()) {
    startCore(node);
  } else {
    startFront(node);
  }
}

void SessionFleet::startCore(SessionNode& node) {
  node.journal = std::make_unique<journal::Journal>(node.process);
  node.view = std::make_unique<FixedCoreView>(cores(), node.accepted);
  node.table = std::make_unique<SessionTable>(node.process, *node.calls, *node.journal,
                                              SessionTimes{}, *node.view, faults_.table);
}

void SessionFleet::startFront(SessionNode& node) {
  node.applied = 0;
  node.instance = next_instance_++;
  node.client = std::make_unique<QuorumSessionClient>(
      node.process, *node.calls, random, SessionTimes{}, cores(),
      FrontIdentity{node.address, node.instance, "zone"}, faults_.client);
  node.client->setCommittedListener([this, &node](std::uint64_t version, const auto& /*core*/) {
    node.process.postAfter(milliseconds(random.below(200)), [this, &node, version] {
      if (apply_versions && version > node.applied) {
        node.applied = version;
        node.client->setApplied(version, version);
      }
    });
  });
  node.client->start();
}

void SessionFleet::kill(SessionNode& node) {
  node.process.kill();
  node.client.reset();
  node.table.reset();
  node.view.reset();
  node.journal.reset();
  node.calls.reset();
  node.transport.reset();
}

void SessionFleet::isolate(SessionNode& node) {
  for (const base::NodeAddress& address : cores()) {
    network.cut(address, node.address);
  }
}

void SessionFleet::commit() {
  const std::uint64_t version = next_version_++;
  std::size_t reached = 0;
  for (std::size_t attempts = 0; attempts < 20 && reached <= CoreCount / 2; ++attempts) {
    SessionNode& node = core(random.below(CoreCount));
    if (node.process.running() && !node.process.frozen()) {
      ++reached;
      node.process.postAfter(milliseconds(random.below(100)), [&node, version] {
        node.accepted = std::max(node.accepted, version);
      });
    }
  }
}

std::uint64_t SessionFleet::acceptedAtMajority() const {
  std::vector<std::uint64_t> versions;
  for (std::size_t index = 0; index < CoreCount; ++index) {
    versions.push_back(nodes[index]->accepted);
  }
  std::sort(versions.rbegin(), versions.rend());
  return versions[CoreCount / 2];
}

void SessionFleet::read(SessionNode& reader) {
  if (!reader.table || reader.process.frozen()) {
    return;
  }
  const std::uint64_t committed = acceptedAtMajority();
  reader.table->readLive([this, committed](base::ResultCode code, const auto& live) {
    if (code == base::ResultCode::Ok) {
      onRead(committed, live);
    }
  });
}

void SessionFleet::onRead(std::uint64_t committed,
                          const std::vector<wire::SessionTableEntry>& live) {
  ++reads_completed;
  for (std::size_t index = 0; index < FrontCount; ++index) {
    const SessionNode& node = front(index);
    const bool listed = std::any_of(live.begin(), live.end(), [&node](const auto& entry) {
      return entry.record.instance == node.instance;
    });
    if (node.client && !listed) {
      ++absences;
      required_[node.instance] = std::max(required_[node.instance], committed);
    }
  }
}

void SessionFleet::check() {
  for (std::size_t index = 0; index < FrontCount; ++index) {
    const SessionNode& node = front(index);
    if (!node.client || node.process.frozen() || !node.client->mayDispatch()) {
      continue;
    }
    ++checks_dispatching;
    if (node.client->state() == SessionState::ServingWithoutCore) {
      ++checks_without_core;
    }
    if (node.applied < required_[node.instance]) {
      violation = "front " + std::to_string(index) + " dispatches on version " +
                  std::to_string(node.applied) + " below " +
                  std::to_string(required_[node.instance]);
    }
  }
}

bool SessionFleet::runUntil(const std::function<bool()>& condition, base::Duration limit) {
  const auto checked = [this, &condition] {
    check();
    return !violation.empty() || condition();
  };
  return world.runUntil(checked, limit) && violation.empty();
}

bool SessionFleet::allServing() {
  for (std::size_t index = 0; index < FrontCount; ++index) {
    if (!front(index).client || front(index).client->state() != SessionState::Serving) {
      return false;
    }
  }
  return true;
}

void SessionFleet::injectFault() {
  SessionNode& node = *nodes[random.below(nodes.size())];
  SessionNode& other = *nodes[random.below(nodes.size())];
  switch (random.below(10)) {
    case 0:
    case 1:
      killOrStart(node);
      break;
    case 2:
      freezeOrWake(node);
      break;
    case 3:
      network.cut(node.address, other.address);
      break;
    case 4:
      isolate(front(random.below(FrontCount)));
      break;
    case 5:
      network.healAll();
      break;
    case 6:
    case 7:
      freezeAndIsolate(front(random.below(FrontCount)));
      break;
    case 8:
      killAndRestartCores();
      break;
    default:
      repair();
      break;
  }
}

void SessionFleet::killOrStart(SessionNode& node) {
  if (node.process.running()) {
    kill(node);
  } else {
    start(node);
  }
}

void SessionFleet::freezeOrWake(SessionNode& node) {
  if (node.process.frozen()) {
    node.process.wake();
  } else if (node.process.running()) {
    const base::Duration length =
        random.chance(0.2) ? milliseconds(20'000) : milliseconds(50 + random.below(2'500));
    node.process.freeze();
    world.schedule(length, [&node] { node.process.wake(); });
  }
}

void SessionFleet::freezeAndIsolate(SessionNode& node) {
  if (!node.process.running() || node.process.frozen()) {
    return;
  }
  node.process.freeze();
  const base::Duration length = milliseconds(300 + random.below(700));
  world.schedule(length, [this, &node] {
    isolate(node);
    node.process.wake();
  });
}

void SessionFleet::killAndRestartCores() {
  for (std::size_t index = 0; index < CoreCount; ++index) {
    if (random.chance(0.7)) {
      kill(core(index));
      if (random.chance(0.5)) {
        start(core(index));
      }
    }
  }
}

void SessionFleet::repair() {
  network.healAll();
  for (const auto& node : nodes) {
    if (!node->process.running()) {
      start(*node);
    } else if (node->process.frozen()) {
      node->process.wake();
    }
  }
}

}  // namespace switchsaddle::sessions
