#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/acceptor_set_change.h"
#include "switchsaddle/registers/bootstrap.h"
#include "switchsaddle/registers/quorum_proposer.h"
#include "switchsaddle/registers/scrubber.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::registers {

/** The disk of a simulated core node, which outlives its process. */
struct TestDisk {
  std::uint64_t instance = 0;
  bool is_new = true;
  bool failing = false;
  /** The next commit fails because the disk is full; later ones succeed. */
  bool full_for_one_commit = false;
  /** Added to the delay of every commit. */
  base::Duration extra_delay{};
  std::map<std::string, std::string> records;
  /** Record keys that the next scrub reports as damaged. */
  std::vector<std::string> damaged;
  /** Counts wipes and power losses; writes that are pending at that time are lost. */
  std::uint64_t losses = 0;
};

/** A record store in memory with commit delays, for one incarnation of a simulated process. */
class TestRecordStore : public storage::RecordStore {
 public:
  TestRecordStore(simulation::World& world, simulation::Process& process, TestDisk& disk)
      : world_(world), process_(process), disk_(disk) {}
  void open(storage::OpenCallback callback) override;
  void commit(std::vector<storage::Record> records, storage::CommitCallback callback) override;
  void scrub(
      std::function<void(base::ResultCode, const std::vector<std::string>&)> callback) override;

 private:
  simulation::World& world_;
  simulation::Process& process_;
  TestDisk& disk_;
  base::TimePoint last_completion_{};
  bool failed_ = false;
};

/** The options of every core node of a cluster. */
struct TestOptions {
  AcceptorOptions acceptor;
  /** Without it, registers never expire. */
  Acceptor::LifetimeSource lifetimes;
  ProposerOptions proposer;
  AcceptorSetChangeOptions change;
  ScrubberOptions scrubber;
  FirstSetElectionOptions election;
  /** If false, the cluster starts no nodes, and Bootstrap commits the first set later. */
  bool first_set_known = true;
};

/** One simulated core node. */
struct TestCore {
  TestCore(simulation::World& world, simulation::Network& network, base::NodeAddress address);
  void start(const std::vector<wire::AcceptorMember>& initial_members,
             const BootstrapOptions& bootstrap_options, const TestOptions& options);
  void kill();

  simulation::World& world;
  simulation::Network& network;
  base::NodeAddress address;
  simulation::Process process;
  TestDisk disk;
  std::unique_ptr<TestRecordStore> store;
  std::unique_ptr<transport::Transport> transport;
  std::unique_ptr<transport::PeerCalls> calls;
  std::unique_ptr<journal::Journal> journal;
  std::unique_ptr<Acceptor> acceptor;
  std::unique_ptr<QuorumProposer> proposer;
  std::unique_ptr<Bootstrap> bootstrap;
  std::unique_ptr<AcceptorSetChange> change;
  std::unique_ptr<Scrubber> scrubber;
  /** Instances that announced themselves to this node without being members. */
  std::vector<std::uint64_t> candidates;
};

/** Simulated core nodes with the same first acceptor set. */
class TestCluster {
 public:
  TestCluster(std::uint64_t seed, std::size_t size, TestOptions options = {});
  ~TestCluster();

  /** Adds an empty core node at a new address and starts it. @return its index. */
  std::size_t addCore();
  /** Kills the process; with a probability of one half, this is a power loss. */
  void kill(std::size_t index);
  void restart(std::size_t index);
  /** Restarts the node with the initial cores as seeds only, as after the first start of a fleet.
   */
  void restartAsLaterStart(std::size_t index);
  /** Kills the node and empties its disk. */
  void wipe(std::size_t index);
  /** Partitions the first `boundary` nodes of a random order from the other ones. */
  void partitionAtRandom(std::size_t boundary);
  void partition(std::size_t first, std::size_t second);
  wire::AcceptorMember member(std::size_t index) const;
  /** @return the index of the first node that runs, is not frozen and has an acceptor set. */
  std::size_t coreWithAcceptorSet() const;
  TestCore& core(std::size_t index) { return *cores_[index]; }
  std::size_t size() const { return cores_.size(); }

  simulation::World world;
  simulation::Network network;

 private:
  /** The options of a node that is started after the first start of the fleet. */
  BootstrapOptions laterStartOptions() const;

  std::vector<wire::AcceptorMember> initial_members_;
  BootstrapOptions bootstrap_options_;
  TestOptions options_;
  std::vector<std::unique_ptr<TestCore>> cores_;
};

}  // namespace switchsaddle::registers
