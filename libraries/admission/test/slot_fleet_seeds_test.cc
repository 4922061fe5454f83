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

/** The mechanisms under test, each of which a red run switches off. */
struct Mechanisms {
  SlotLedgerOptions ledger;
  SlotBrokerOptions broker;
};

/** Fronts of one branch which ask too much of it while they and the ledgers fail. */
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
        const bool asks = front->alive() && !front->process.frozen() && world.random().chance(0.4);
        if (asks) {
          front->request(branch, milliseconds(20 + world.random().below(300)));
        }
      }
      if (world.random().chance(0.02)) {
        disturb();
      }
      world.runFor(milliseconds(10));
    }
  }

  void healAll() {
    network.healAll();
    network.conditions.loss = 0;
    for (const auto& front : fronts) {
      revive(*front);
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

  static void revive(FrontNode& front) {
    if (!front.alive()) {
      front.process.start();
      front.start();
    }
    front.process.wake();
  }

  void disturb() {
    base::RandomSource& random = world.random();
    FrontNode& front = *fronts[random.below(fronts.size())];
    switch (random.below(8)) {
      case 0:
        if (front.alive()) {
          front.kill();
        }
        break;
      case 1:
        front.process.freeze();
        break;
      case 2:
      case 3:
        revive(front);
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

TEST_P(SlotFleetTest, TheBranchIsNeverExceededNorRefusedWithinWhileFrontsAndLedgersFail) {
  SlotFleet fleet(static_cast<std::uint64_t>(GetParam()), Mechanisms{});
  fleet.run();
  EXPECT_FALSE(fleet.observer.over_limit);
  EXPECT_EQ(fleet.observer.refusals_inside, 0);
  // Once all is well again every slot can be had, so none has leaked.
  fleet.healAll();
  FrontNode& front = *fleet.fronts[0];
  front.answers.clear();
  for (std::uint32_t index = 0; index < Limit; ++index) {
    front.request(fleet.branch, seconds(60));
  }
  fleet.world.runFor(seconds(2));
  EXPECT_EQ(front.answers[base::ResultCode::Ok], static_cast<int>(Limit));
  EXPECT_EQ(fleet.observer.used, static_cast<int>(Limit));
  EXPECT_FALSE(fleet.observer.over_limit);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SlotFleetTest, ::testing::Range(1, Seeds + 1));

TEST(SlotFleetSeeds, TheScenarioBringsAboutRefusals) {
  int refusals = 0;
  base::Duration longest{};
  for (int seed = 1; seed <= Seeds; ++seed) {
    SlotFleet fleet(static_cast<std::uint64_t>(seed), Mechanisms{});
    fleet.run();
    refusals += fleet.observer.refusals;
    longest = std::max(longest, fleet.observer.longest_refusal);
  }
  std::cout << "seeds " << Seeds << ", refusals " << refusals << ", the longest wait for one "
            << base::toMilliseconds(longest) << " ms\n";
  EXPECT_GT(refusals, 100 * Seeds);
}

/** Seeds in which the fleet breaks a promise with a mechanism switched off. */
struct RedRun {
  int over_limit = 0;
  int refused_inside = 0;
};

RedRun runRed(const Mechanisms& mechanisms) {
  RedRun red;
  for (int seed = 1; seed <= Seeds; ++seed) {
    SlotFleet fleet(static_cast<std::uint64_t>(seed), mechanisms);
    fleet.run();
    red.over_limit += fleet.observer.over_limit ? 1 : 0;
    red.refused_inside += fleet.observer.refusals_inside > 0 ? 1 : 0;
  }
  std::cout << "seeds " << Seeds << ", over the limit in " << red.over_limit
            << ", refused inside in " << red.refused_inside << "\n";
  return red;
}

TEST(SlotFleetRed, WithoutReservationsTheBranchIsExceeded) {
  Mechanisms mechanisms;
  mechanisms.ledger.reserve_before_granting = false;
  EXPECT_GT(runRed(mechanisms).over_limit, 0);
}

TEST(SlotFleetRed, WithoutSequenceNumbersTheBranchIsExceeded) {
  Mechanisms mechanisms;
  mechanisms.ledger.order_by_sequence = false;
  mechanisms.broker.check_sequences = false;
  EXPECT_GT(runRed(mechanisms).over_limit, 0);
}

TEST(SlotFleetRed, WithoutRecallsCallersInsideTheirBranchAreRefused) {
  Mechanisms mechanisms;
  mechanisms.ledger.recall_before_refusing = false;
  EXPECT_GT(runRed(mechanisms).refused_inside, 0);
}

}  // namespace
}  // namespace switchsaddle::admission::testing
