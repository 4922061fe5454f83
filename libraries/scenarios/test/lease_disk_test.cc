#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* ProbeLease = "probe";

/** The newest term that a granter granted for the probe lease, and the instance it granted to. */
struct Grant {
  std::uint64_t term = 0;
  std::uint64_t instance = 0;
};

/**
 * Injects disk failures, full disks and power losses at cores, whose acceptors and lease granters
 * share a store. Two candidates alternately request one lease from every core, with rising terms.
 */
class LeaseDiskTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  LeaseDiskTest() : fleet_(GetParam(), FleetSize{}) {
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
  }

  void requestLease(std::uint64_t term, std::uint64_t instance) {
    for (const auto& core : fleet_.cores) {
      wire::LeaseRequest request{ProbeLease, {"127.0.0.1", 7'300}, instance, term, 100};
      calls_.call(core->address(), request, seconds(1),
                  [this, address = core->address(), request](const transport::CallResult& result) {
                    const auto* reply = result.as<wire::LeaseReply>();
                    if (reply != nullptr && reply->granted) {
                      onGrant(grants_[address], {reply->term, request.holder_instance});
                    }
                  });
    }
  }

  void onGrant(Grant& newest, const Grant& grant) {
    ++granted_;
    EXPECT_GE(grant.term, newest.term);
    if (grant.term == newest.term) {
      EXPECT_EQ(grant.instance, newest.instance) << "two holders in term " << grant.term;
    }
    newest = grant;
  }

  void injectDiskFault() {
    base::RandomSource& random = fleet_.world.random();
    SimulatedCore& core = *fleet_.cores[random.below(fleet_.cores.size())];
    switch (random.below(4)) {
      case 0:
        core.disk().failOnce(simulation::DiskOperation::SyncFile, 1 + random.below(3));
        break;
      case 1:
        core.disk().failOnce(simulation::DiskOperation::SyncFolder, 1 + random.below(3));
        break;
      case 2:
        core.disk().setFull(true);
        fleet_.world.schedule(milliseconds(random.below(3'000)),
                              [&core] { core.disk().setFull(false); });
        break;
      default:
        core.kill(CrashKind::PowerLoss);
        core.start();
        break;
    }
  }

  /** The first term of the cores' current acceptor set; granters reject terms of other sets. */
  std::uint64_t firstTerm() {
    constexpr unsigned CountBits = 24;
    return fleet_.cores.front()->node().acceptor().acceptorSet().epoch << CountBits;
  }

  /** The highest term in which any core holds the lease now, or 0 if none does. */
  std::uint64_t heldTerm(const std::string& lease) {
    std::uint64_t term = 0;
    std::size_t holders = 0;
    for (const auto& core : fleet_.cores) {
      for (const core::LeaseStatus& status : core->node().status().leases) {
        if (status.name == lease && status.held) {
          term = std::max(term, status.term);
          ++holders;
        }
      }
    }
    EXPECT_LE(holders, 1U);
    return term;
  }

  Fleet fleet_;
  std::map<base::NodeAddress, Grant> grants_;
  std::uint64_t granted_ = 0;
  simulation::Process process_{fleet_.world};
  std::unique_ptr<transport::Transport> transport_ =
      fleet_.network.attach({"127.0.0.1", 7'300}, process_);
  transport::PeerCalls calls_{process_, *transport_};
};

TEST_P(LeaseDiskTest, TermsNeverDecreaseAndLeasesAreReacquired) {
  base::RandomSource& random = fleet_.world.random();
  std::uint64_t watcher_term = 0;
  for (std::uint64_t round = 1; round <= 300; ++round) {
    if (random.chance(0.2)) {
      injectDiskFault();
    }
    // Sometimes requests an earlier term again.
    const bool old = random.chance(0.2) && round > 5;
    const std::uint64_t term = firstTerm() + (old ? round - 5 : round);
    requestLease(term, 1 + term % 2);
    fleet_.world.runFor(milliseconds(100 + random.below(100)));
    const std::uint64_t held = heldTerm(core::PlatformWatcherLease);
    EXPECT_TRUE(held == 0 || held >= watcher_term);
    watcher_term = std::max(watcher_term, held);
  }
  EXPECT_GT(granted_, 100U);
  const bool regained = fleet_.world.runUntil(
      [&] { return heldTerm(core::PlatformWatcherLease) >= watcher_term; }, seconds(12));
  EXPECT_TRUE(regained);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, LeaseDiskTest, testing::Range<std::uint64_t>(1, 21));

}  // namespace
}  // namespace switchsaddle::scenarios
