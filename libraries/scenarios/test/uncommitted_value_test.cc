#include <gtest/gtest.h>

#include <chrono>

#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A proposer that sends accept requests only to acceptors that the test chooses. */
class UncommittedValueTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  UncommittedValueTest() : fleet_(GetParam(), FleetSize{}) {
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
    initial_ = fleet_.cores[0]->node().acceptor().entry(registers::ConfigurationRegister);
  }

  /** The current value with one more entry, in the next version. */
  std::string nextValue() const {
    configuration::RegisterValue value =
        configuration::decodeRegisterValue(initial_ ? initial_->value : std::string());
    configuration::Change change;
    change.change_id = "never-committed";
    change.base_version = value.document.version;
    change.set.push_back({"evacuations/zone-lost", "{}"});
    const configuration::ChangeDecision decision = configuration::decideChange(value, change);
    EXPECT_EQ(decision.next.document.version, value.document.version + 1);
    return configuration::encodeRegisterValue(decision.next);
  }

  void accept(SimulatedCore& core, std::uint64_t round, const std::string& value) {
    wire::AcceptRequest request;
    request.key = registers::ConfigurationRegister;
    request.ballot = {round, 1};
    request.set_epoch = core.node().acceptor().acceptorSet().epoch;
    request.value = value;
    calls_.call(core.address(), request, seconds(1), [](const transport::CallResult& result) {
      const auto* reply = result.as<wire::RegisterReply>();
      ASSERT_NE(reply, nullptr);
      EXPECT_EQ(reply->verdict, wire::RegisterVerdict::Granted);
    });
  }

  void isolateFirstCore() {
    for (std::size_t index = 1; index < fleet_.cores.size(); ++index) {
      fleet_.network.cut(fleet_.cores[0]->address(), fleet_.cores[index]->address());
    }
  }

  Fleet fleet_;
  std::optional<wire::RegisterScanEntry> initial_;
  simulation::Process process_{fleet_.world};
  std::unique_ptr<transport::Transport> transport_ =
      fleet_.network.attach({"127.0.0.1", 7'300}, process_);
  transport::PeerCalls calls_{process_, *transport_};
};

TEST_P(UncommittedValueTest, ReachesNoReplicaWhileOnlyAMinorityHasAcceptedIt) {
  isolateFirstCore();
  accept(*fleet_.cores[0], 1'000'000, nextValue());
  fleet_.world.runFor(milliseconds(100));
  for (int poll = 0; poll < 500; ++poll) {
    fleet_.world.runFor(milliseconds(10));
    EXPECT_EQ(fleet_.cores[0]->node().replica().version(), 0U);
    for (const auto& front : fleet_.fronts) {
      ASSERT_EQ(front->node().replica().version(), 0U);
    }
  }
}

TEST_P(UncommittedValueTest, DoesNotBlockSessionsAfterItWasOverwritten) {
  isolateFirstCore();
  accept(*fleet_.cores[0], 1'000'000, nextValue());
  fleet_.world.runFor(milliseconds(100));
  // A proposer that read the former value from a majority writes it back to all acceptors.
  for (const auto& core : fleet_.cores) {
    accept(*core, 2'000'000, initial_ ? initial_->value : std::string());
  }
  fleet_.world.runFor(milliseconds(100));
  fleet_.network.healAll();
  fleet_.world.runFor(seconds(5));
  for (const auto& front : fleet_.fronts) {
    front->kill();
    front->start();
  }
  EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
  fleet_.world.runFor(seconds(5));
  EXPECT_TRUE(fleet_.allServe(0));
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, UncommittedValueTest, testing::Range<std::uint64_t>(1, 11));

}  // namespace
}  // namespace switchsaddle::scenarios
