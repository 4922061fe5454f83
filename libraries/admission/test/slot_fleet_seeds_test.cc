#include <gtest/gtest.h>

#include "slot_fleet.h"

namespace switchsaddle::admission::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Limit = 12;
constexpr int Cores = 3;
constexpr int Fronts = 4;
constexpr int Steps = 1'500;
constexpr int Seeds = 120;

/** Options of the mechanisms under test; some tests disable one. */
struct Mechanisms {
  SlotLedgerOptions ledger;
  SlotBrokerOptions broker;
};

/** Fronts that overload one branch while they and the ledgers fail. */
class SlotFleet {
 public:
  SlotFleet(std::uint64_t seed, const Mechanisms& mechanisms) : world(seed) {
    shared.longest_delay = milliseconds(20);
    network.conditions.loss = 0.02;
    network.conditions.duplication = 0.02;
    network.conditions.maximum_delay = milliseconds(20);
    for (int index = 0; index < Cores; ++index) {
      const base::NodeAddress address{"127.0.0.1", static_cast<std::uint16_t>(100 + index)};
      core_addresses.push_back(address);
      cores.push_back(
          std::make_unique<LedgerNode>(world, network, shared, address, mechanisms.ledger));
      cores.back()->ledger->setLimits({{branch, Limit}});
    }
    for (int index = 0; index < Fronts; ++index) {
      const base::NodeAddress address{"127.0.0.2", static_cast<std::uint16_t>(200 + index)};
      fronts.push_back(std::make_unique<FrontNode>(world, network, address, core_addresses,
                                                   mechanisms.broker, &observer));
    }
    grantLease(0);
  }

  void run() {
    for (int step = 0; step < Steps; ++step) {
      for (const auto& front : fronts) {
        const bool sends =
            front->running() && !front->process.frozen() && world.random().chance(0.4);
        if (sends) {
          front->request(branch, milliseconds(20 + world.random().below(300)));
        }
      }
      if (world.random().chance(0.02)) {
        injectFault();
      }
      world.runFor(milliseconds(10));
    }
  }

  void healAll() {
    network.healAll();
    network.conditions.loss = 0;
    for (const auto& front : fronts) {
      restore(*front);
    }
    grantLease(0);
    world.runFor(seconds(3));
  }

  simulation::World world;
  simulation::Network network{world};
  SharedRegister shared{world};
  std::string branch = branchOfShardZero();
  BranchObserver observer{world, Limit};
  std::vector<base::NodeAddress> core_addresses;
  std::vector<std::unique_ptr<LedgerNode>> cores;
  std::vector<std::unique_ptr<FrontNode>> fronts;

 private:
  void grantLease(std::size_t index) { moveLease(cores, index, ++term_); }

  static void restore(FrontNode& front) {
    if (!front.running()) {
      front.process.start();
      front.start();
    }
    front.process.wake();
  }

  void injectFault() {
    base::RandomSource& random = world.random();
    FrontNode& front = *fronts[random.below(fronts.size())];
    switch (random.below(8)) {
      case 0:
        if (front.running()) {
          front.kill();
        }
        break;
      case 1:
        front.process.freeze();
        break;
      case 2:
      case 3:
        restore(front);
        break;
      case 4:
        network.cut({"127.0.0.2", static_cast<std::uint16_t>(200 + random.below(Fronts))},
                    core_addresses[random.below(Cores)]);
        break;
      case 5:
        network.healAll();
        break;
      default:
        grantLease(random.below(cores.size()));
        break;
    }
  }

  std::uint64_t term_ = 0;
};

class SlotFleetTest : public ::testing::TestWithParam<int> {};

TEST_P(SlotFleetTest, StaysWithinTheLimitAndRejectsOnlyWhenItIsReachedWhileFrontsAndLedgersFail) {
  SlotFleet fleet(static_cast<std::uint64_t>(GetParam()), Mechanisms{});
  fleet.run();
  EXPECT_FALSE(fleet.observer.over_limit);
  EXPECT_EQ(fleet.observer.rejections_within_limit, 0);
  // After recovery every slot can be acquired, so none has leaked.
  fleet.healAll();
  FrontNode& front = *fleet.fronts[0];
  front.outcomes.clear();
  for (std::uint32_t index = 0; index < Limit; ++index) {
    front.request(fleet.branch, seconds(60));
  }
  fleet.world.runFor(seconds(2));
  EXPECT_EQ(front.outcomes[base::ResultCode::Ok], static_cast<int>(Limit));
  EXPECT_EQ(fleet.observer.used, static_cast<int>(Limit));
  EXPECT_FALSE(fleet.observer.over_limit);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SlotFleetTest, ::testing::Range(1, Seeds + 1));

TEST(SlotFleetSeeds, TheScenarioCausesRejections) {
  int rejections = 0;
  base::Duration longest{};
  for (int seed = 1; seed <= Seeds; ++seed) {
    SlotFleet fleet(static_cast<std::uint64_t>(seed), Mechanisms{});
    fleet.run();
    rejections += fleet.observer.rejections;
    longest = std::max(longest, fleet.observer.longest_rejection);
  }
  std::cout << "seeds " << Seeds << ", rejections " << rejections
            << ", longest time to a rejection " << base::toMilliseconds(longest) << " ms\n";
  EXPECT_GT(rejections, 100 * Seeds);
}

/** Seeds in which the fleet violates an invariant with a mechanism disabled. */
struct ViolationCounts {
  int over_limit = 0;
  int rejected_within_limit = 0;
};

ViolationCounts countViolations(const Mechanisms& mechanisms) {
  ViolationCounts violations;
  for (int seed = 1; seed <= Seeds; ++seed) {
    SlotFleet fleet(static_cast<std::uint64_t>(seed), mechanisms);
    fleet.run();
    violations.over_limit += fleet.observer.over_limit ? 1 : 0;
    violations.rejected_within_limit += fleet.observer.rejections_within_limit > 0 ? 1 : 0;
  }
  std::cout << "seeds " << Seeds << ", over the limit in " << violations.over_limit
            << ", rejected within the limit in " << violations.rejected_within_limit << "\n";
  return violations;
}

TEST(SlotFleetMechanisms, WithoutReservationsTheLimitIsExceeded) {
  Mechanisms mechanisms;
  mechanisms.ledger.reserve_before_granting = false;
  EXPECT_GT(countViolations(mechanisms).over_limit, 0);
}

TEST(SlotFleetMechanisms, WithoutSequenceNumbersTheLimitIsExceeded) {
  Mechanisms mechanisms;
  mechanisms.ledger.order_by_sequence = false;
  mechanisms.broker.check_sequences = false;
  EXPECT_GT(countViolations(mechanisms).over_limit, 0);
}

TEST(SlotFleetMechanisms, WithoutRecallsCallersWithinTheLimitAreRejected) {
  Mechanisms mechanisms;
  mechanisms.ledger.recall_before_rejecting = false;
  EXPECT_GT(countViolations(mechanisms).rejected_within_limit, 0);
}

}  // namespace
}  // namespace switchsaddle::admission::testing
