#include "test_cluster.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace switchsaddle::registers {

namespace {

constexpr std::uint16_t CorePort = 7000;
/** Longest delay of a commit. */
constexpr std::uint64_t MaximumCommitMicroseconds = 3000;

}  // namespace

void TestRecordStore::open(storage::OpenCallback callback) {
  process_.post([this, callback = std::move(callback)] {
    if (disk_.failing) {
      callback(base::ResultCode::StorageFailed, {});
      return;
    }
    failed_ = false;
    storage::OpenedStore opened{disk_.instance, disk_.is_new, {}, disk_.records};
    disk_.is_new = false;
    callback(base::ResultCode::Ok, opened);
  });
}

void TestRecordStore::commit(std::vector<storage::Record> records,
                             storage::CommitCallback callback) {
  const base::Duration delay =
      disk_.extra_delay +
      std::chrono::microseconds(1 + world_.random().below(MaximumCommitMicroseconds));
  last_completion_ = std::max<base::TimePoint>(last_completion_, world_.now() + delay);
  const base::Duration wait = last_completion_ - world_.now();
  if (disk_.failing || failed_) {
    failed_ = true;
    process_.postAfter(
        wait, [callback = std::move(callback)] { callback(base::ResultCode::StorageFailed); });
    return;
  }
  if (disk_.full_for_one_commit) {
    disk_.full_for_one_commit = false;
    process_.postAfter(
        wait, [callback = std::move(callback)] { callback(base::ResultCode::StorageFull); });
    return;
  }
  world_.schedule(wait, [&disk = disk_, losses = disk_.losses, records = std::move(records)] {
    for (const storage::Record& record : records) {
      if (disk.losses == losses) {
        if (record.removed) {
          disk.records.erase(record.key);
        } else {
          disk.records[record.key] = record.bytes;
        }
      }
    }
  });
  process_.postAfter(wait, [callback = std::move(callback)] { callback(base::ResultCode::Ok); });
}

void TestRecordStore::scrub(
    std::function<void(base::ResultCode, const std::vector<std::string>&)> callback) {
  process_.post([this, callback = std::move(callback)] {
    const std::vector<std::string> damaged = std::exchange(disk_.damaged, {});
    callback(damaged.empty() ? base::ResultCode::Ok : base::ResultCode::RecordCorrupt, damaged);
  });
}

TestCore::TestCore(simulation::World& its_world, simulation::Network& its_network,
                   base::NodeAddress its_address)
    : world(its_world), network(its_network), address(std::move(its_address)), process(world) {
  disk.instance = world.random().next() | 1U;
}

void TestCore::start(const std::vector<wire::AcceptorMember>& initial_members,
                     const BootstrapOptions& bootstrap_options, const TestOptions& options) {
  process.start();
  store = std::make_unique<TestRecordStore>(world, process, disk);
  transport = network.attach(address, process);
  calls = std::make_unique<transport::PeerCalls>(process, *transport);
  journal = std::make_unique<journal::Journal>(process);
  acceptor = std::make_unique<Acceptor>(process, *calls, *store, *journal, options.acceptor);
  if (options.lifetimes) {
    acceptor->setLifetimeSource(options.lifetimes);
  }
  proposer = std::make_unique<QuorumProposer>(process, *calls, world.random(), *acceptor,
                                              options.proposer);
  bootstrap = std::make_unique<Bootstrap>(process, *calls, *acceptor, bootstrap_options);
  bootstrap->setCandidateListener([this](const wire::CoreAnnounce& candidate) {
    candidates.push_back(candidate.member.instance);
  });
  bootstrap->start();
  change =
      std::make_unique<AcceptorSetChange>(process, *calls, *acceptor, *proposer, options.change);
  scrubber = std::make_unique<Scrubber>(process, *calls, world.random(), *acceptor, *proposer,
                                        *store, options.scrubber);
  scrubber->start();
  store->open([this, initial_members](base::ResultCode, const storage::OpenedStore& opened) {
    acceptor->load(opened, initial_members);
  });
}

void TestCore::kill() {
  process.kill();
  scrubber.reset();
  change.reset();
  bootstrap.reset();
  proposer.reset();
  acceptor.reset();
  journal.reset();
  calls.reset();
  transport.reset();
  store.reset();
}

TestCluster::TestCluster(std::uint64_t seed, std::size_t size, TestOptions options)
    : world(seed), network(world), options_(options) {
  for (std::size_t index = 0; index < size; ++index) {
    const base::NodeAddress address{"127.0.0." + std::to_string(index + 1), CorePort};
    cores_.push_back(std::make_unique<TestCore>(world, network, address));
    initial_members_.push_back(member(index));
    bootstrap_options_.initial_cores.push_back(address);
  }
  for (const auto& core : cores_) {
    core->process.kill();
    if (options_.first_set_known) {
      core->start(initial_members_, bootstrap_options_, options_);
    }
  }
}

TestCluster::~TestCluster() {
  for (const auto& core : cores_) {
    core->kill();
  }
}

BootstrapOptions TestCluster::laterStartOptions() const {
  BootstrapOptions options;
  options.seeds = bootstrap_options_.initial_cores;
  options.election = options_.election;
  return options;
}

std::size_t TestCluster::addCore() {
  const base::NodeAddress address{"127.0.1." + std::to_string(cores_.size() + 1), CorePort};
  cores_.push_back(std::make_unique<TestCore>(world, network, address));
  cores_.back()->start({}, laterStartOptions(), options_);
  return cores_.size() - 1;
}

void TestCluster::kill(std::size_t index) {
  if (core(index).process.running()) {
    core(index).kill();
    core(index).disk.losses += world.random().chance(0.5) ? 1 : 0;
  }
}

void TestCluster::restart(std::size_t index) {
  if (!core(index).process.running()) {
    core(index).start({}, bootstrap_options_, options_);
  }
}

void TestCluster::restartAsLaterStart(std::size_t index) {
  kill(index);
  core(index).start({}, laterStartOptions(), options_);
}

void TestCluster::wipe(std::size_t index) {
  kill(index);
  TestDisk& disk = core(index).disk;
  const std::uint64_t losses = disk.losses + 1;
  disk = TestDisk{};
  disk.losses = losses;
  disk.instance = world.random().next() | 1U;
}

void TestCluster::partition(std::size_t first, std::size_t second) {
  network.cut(core(first).address, core(second).address);
}

void TestCluster::partitionAtRandom(std::size_t boundary) {
  std::vector<std::size_t> order(cores_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  for (std::size_t index = order.size() - 1; index > 0; --index) {
    std::swap(order[index], order[world.random().below(index + 1)]);
  }
  for (std::size_t first = 0; first < boundary; ++first) {
    for (std::size_t second = boundary; second < order.size(); ++second) {
      partition(order[first], order[second]);
    }
  }
}

std::size_t TestCluster::coreWithAcceptorSet() const {
  std::size_t index = 0;
  while (!cores_[index]->process.running() || cores_[index]->process.frozen() ||
         cores_[index]->acceptor->acceptorSet().epoch == 0) {
    ++index;
  }
  return index;
}

wire::AcceptorMember TestCluster::member(std::size_t index) const {
  return {cores_[index]->address, cores_[index]->disk.instance};
}

}  // namespace switchsaddle::registers
