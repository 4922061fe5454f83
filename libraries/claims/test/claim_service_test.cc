#include "switchsaddle/claims/claim_service.h"

#include <gtest/gtest.h>

#include "memory_proposer.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/claims/claim_value.h"
#include "switchsaddle/claims/peer_claim_client.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::claims {
namespace {

using wire::ClaimState;

const base::NodeAddress FrontAddress{"127.0.0.1", 1};
const base::NodeAddress FirstCore{"127.0.0.2", 1};
const base::NodeAddress SecondCore{"127.0.0.3", 1};

wire::ClaimBegin beginOf(const std::string& run, std::uint64_t fingerprint = 7) {
  return wire::ClaimBegin{"editors", "k1", fingerprint, run, 86400};
}

wire::ClaimFinish finishOf(const std::string& run, ClaimState state,
                           const std::string& answer = "") {
  return wire::ClaimFinish{"editors", "k1", run, state, 200, answer};
}

/** One claim service over registers in memory. */
class ClaimServiceTest : public testing::Test {
 protected:
  wire::ClaimReply begin(const wire::ClaimBegin& request) {
    wire::ClaimReply result;
    service.begin(request, [&result](const wire::ClaimReply& reply) { result = reply; });
    return result;
  }
  wire::ClaimReply finish(const wire::ClaimFinish& request) {
    wire::ClaimReply result;
    service.finish(request, [&result](const wire::ClaimReply& reply) { result = reply; });
    return result;
  }

  simulation::World world{1};
  simulation::Process process{world};
  simulation::Network network{world};
  std::unique_ptr<transport::Transport> transport = network.attach(FirstCore, process);
  transport::PeerCalls calls{process, *transport};
  MemoryProposer proposer;
  ClaimService service{calls, proposer};
};

TEST_F(ClaimServiceTest, GrantsTheKeyToOneRunWhichMayRepeatItsBegin) {
  EXPECT_TRUE(begin(beginOf("a")).recorded);
  EXPECT_TRUE(begin(beginOf("a")).recorded);
  const wire::ClaimReply other = begin(beginOf("b"));
  EXPECT_TRUE(other.available);
  EXPECT_FALSE(other.recorded);
  EXPECT_EQ(other.state, ClaimState::InFlight);
  EXPECT_EQ(other.run, "a");
}

TEST_F(ClaimServiceTest, RejectedBeginReceivesTheFingerprintOfTheFirstRequest) {
  begin(beginOf("a", 7));
  const wire::ClaimReply other = begin(beginOf("b", 8));
  EXPECT_FALSE(other.recorded);
  EXPECT_EQ(other.fingerprint, 7U);
}

TEST_F(ClaimServiceTest, RanAndUnknownAreFinal) {
  for (const ClaimState state : {ClaimState::Ran, ClaimState::Unknown}) {
    proposer.values.clear();
    begin(beginOf("a"));
    EXPECT_TRUE(finish(finishOf("a", state, "answer")).recorded);
    EXPECT_TRUE(finish(finishOf("a", state, "answer")).recorded);
    EXPECT_FALSE(finish(finishOf("a", ClaimState::NotRun)).recorded);
    for (const char* run : {"a", "b"}) {
      const wire::ClaimReply again = begin(beginOf(run));
      EXPECT_FALSE(again.recorded);
      EXPECT_EQ(again.state, state);
      EXPECT_EQ(again.answer, state == ClaimState::Ran ? "answer" : "");
    }
  }
}

TEST_F(ClaimServiceTest, KeyOfARunThatEndedAsNotRunCanBeClaimedOnlyByAnotherRun) {
  begin(beginOf("a"));
  EXPECT_TRUE(finish(finishOf("a", ClaimState::NotRun)).recorded);
  EXPECT_FALSE(begin(beginOf("a")).recorded);
  EXPECT_TRUE(begin(beginOf("b")).recorded);
  EXPECT_FALSE(finish(finishOf("a", ClaimState::NotRun)).recorded);
  EXPECT_EQ(begin(beginOf("c")).state, ClaimState::InFlight);
}

TEST_F(ClaimServiceTest, OnlyTheOwnerEndsAClaim) {
  begin(beginOf("a"));
  EXPECT_FALSE(finish(finishOf("b", ClaimState::Ran, "forged")).recorded);
  EXPECT_FALSE(finish(finishOf("a", ClaimState::InFlight)).available == false);
  EXPECT_EQ(begin(beginOf("c")).state, ClaimState::InFlight);
}

TEST_F(ClaimServiceTest, RejectsALateBeginOfARunThatEndedAsNotRun) {
  EXPECT_FALSE(finish(finishOf("z", ClaimState::Ran, "x")).recorded);
  EXPECT_TRUE(finish(finishOf("a", ClaimState::NotRun)).recorded);
  EXPECT_FALSE(begin(beginOf("a")).recorded);
  EXPECT_TRUE(begin(beginOf("b")).recorded);
}

TEST_F(ClaimServiceTest, RepliesUnavailableWithoutAQuorum) {
  proposer.outage = MemoryProposer::Outage::AfterChange;
  const wire::ClaimReply unavailable = begin(beginOf("a"));
  EXPECT_FALSE(unavailable.available);
  EXPECT_FALSE(unavailable.recorded);
  proposer.outage = MemoryProposer::Outage::None;
  EXPECT_TRUE(begin(beginOf("a")).recorded);
}

TEST_F(ClaimServiceTest, RejectsABeginIfTheStoredClaimIsCorrupt) {
  proposer.values[claimKey("editors", "k1")] = "torn";
  const wire::ClaimReply reply = begin(beginOf("a"));
  EXPECT_FALSE(reply.recorded);
  EXPECT_EQ(reply.state, ClaimState::Unknown);
}

TEST(ClaimKey, KeysOfTwoTenantsAreDistinct) {
  EXPECT_EQ(claimKey("editors", "k"), "claim/editors/k");
  EXPECT_NE(claimKey("a/b", "c"), claimKey("a", "b/c"));
  EXPECT_NE(claimKey("a/b", "c"), claimKey("a%2Fb", "c"));
}

/** A client on a front, and two core nodes that share their registers. */
class PeerClaimClientTest : public testing::Test {
 protected:
  struct Core {
    Core(simulation::World& world, simulation::Network& network, MemoryProposer& proposer,
         const base::NodeAddress& address)
        : process(world),
          transport(network.attach(address, process)),
          calls(process, *transport),
          service(calls, proposer) {}
    simulation::Process process;
    std::unique_ptr<transport::Transport> transport;
    transport::PeerCalls calls;
    ClaimService service;
  };

  wire::ClaimReply begin(const std::string& run) {
    std::optional<wire::ClaimReply> result;
    client.begin(beginOf(run), [&result](const wire::ClaimReply& reply) { result = reply; });
    EXPECT_TRUE(world.runUntil([&result] { return result.has_value(); }, std::chrono::seconds(5)));
    return result.value_or(wire::ClaimReply{});
  }

  simulation::World world{1};
  simulation::Network network{world};
  MemoryProposer proposer;
  std::unique_ptr<Core> first = std::make_unique<Core>(world, network, proposer, FirstCore);
  std::unique_ptr<Core> second = std::make_unique<Core>(world, network, proposer, SecondCore);
  simulation::Process process{world};
  std::unique_ptr<transport::Transport> transport = network.attach(FrontAddress, process);
  transport::PeerCalls calls{process, *transport};
  PeerClaimClient client{process, calls, [] { return std::vector{FirstCore, SecondCore}; }};
};

TEST_F(PeerClaimClientTest, SkipsAnUnresponsiveCore) {
  network.cut(FrontAddress, FirstCore);
  EXPECT_TRUE(begin("a").recorded);
  const base::TimePoint requested_at = world.now();
  EXPECT_EQ(begin("b").run, "a");
  EXPECT_LT(world.now() - requested_at, std::chrono::milliseconds(300));
}

TEST_F(PeerClaimClientTest, SkipsACoreThatRefusesConnections) {
  first.reset();
  EXPECT_TRUE(begin("a").recorded);
}

TEST_F(PeerClaimClientTest, EndsAsUnavailableAtItsDeadline) {
  proposer.outage = MemoryProposer::Outage::AfterChange;
  const base::TimePoint requested_at = world.now();
  EXPECT_FALSE(begin("a").available);
  EXPECT_GE(world.now() - requested_at, std::chrono::seconds(2));
  EXPECT_LT(world.now() - requested_at, std::chrono::milliseconds(2500));
}

TEST_F(PeerClaimClientTest, RepeatsTheSameRequestUntilACoreHasAQuorum) {
  proposer.outage = MemoryProposer::Outage::AfterChange;
  process.postAfter(std::chrono::milliseconds(700),
                    [this] { proposer.outage = MemoryProposer::Outage::None; });
  EXPECT_TRUE(begin("a").recorded);
}

}  // namespace
}  // namespace switchsaddle::claims
