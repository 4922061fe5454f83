#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "memory_record_store.h"
#include "switchsaddle/lease/lease_granter.h"
#include "switchsaddle/lease/lease_holder.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::lease {

/** One simulated granter or candidate, with the state that outlives its process. */
struct LeaseNode {
  explicit LeaseNode(simulation::World& world) : process(world) {}

  base::NodeAddress address;
  simulation::Process process;
  MemoryDisk disk;
  std::unique_ptr<transport::Transport> transport;
  std::unique_ptr<transport::PeerCalls> calls;
  std::unique_ptr<journal::Journal> journal;
  std::unique_ptr<MemoryRecordStore> store;
  std::unique_ptr<LeaseGranter> granter;
  std::unique_ptr<LeaseHolder> holder;
};

/** Five granters and three candidates with faults drawn from a seed. Checks the invariants after
 * every event. */
class LeaseFleet : public GranterSet {
 public:
  static constexpr std::size_t GranterCount = 5;
  static constexpr std::size_t CandidateCount = 3;

  explicit LeaseFleet(std::uint64_t seed, LeaseGranterFaults granter_faults = {},
                      LeaseHolderFaults holder_faults = {}, LeaseTimes holder_times = {});

  std::vector<base::NodeAddress> coreAddresses() const override;
  bool quorum(const std::set<base::NodeAddress>& answered) const override {
    return answered.size() > GranterCount / 2;
  }

  void start(LeaseNode& node);
  void kill(LeaseNode& node);
  /** Runs, with a check after every event, until the first violation, until the condition is true
   * or until the limit has passed. @return whether the condition became true without a violation.
   */
  bool runUntil(const std::function<bool()>& condition, base::Duration limit);
  void run(base::Duration duration) {
    runUntil([] { return false; }, duration);
  }
  /** Injects or ends faults at random: kills, restarts, freezes or partitions. */
  void injectFault();
  /** Ends every fault. */
  void repair();
  LeaseNode* holder();

  simulation::World world;
  simulation::Network network{world};
  std::vector<std::unique_ptr<LeaseNode>> nodes;
  std::string violation;
  std::uint64_t gains = 0;
  std::uint64_t last_term = 0;

 private:
  void check();

  base::RandomSource random_;
  LeaseGranterFaults granter_faults_;
  LeaseHolderFaults holder_faults_;
  LeaseTimes holder_times_;
  std::uint64_t next_instance_ = 1;
  const LeaseHolder* last_holder_ = nullptr;
};

}  // namespace switchsaddle::lease
