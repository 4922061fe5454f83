#include "switchsaddle/exploration/deviating_network.h"

#include <gtest/gtest.h>

#include <memory>

#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::exploration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Two machines, the first of which sends notifications to the second. */
class DeviatingNetworkTest : public testing::Test, public Machines {
 protected:
  DeviatingNetworkTest() {
    second_calls.handle<wire::Acknowledgement>(
        [this](const auto&, const auto&, const auto&) { ++received; });
  }
  void kill(const base::NodeAddress& machine) override { killed.push_back(machine); }
  void wipe(const base::NodeAddress& machine) override { wiped.push_back(machine); }
  void freeze(const base::NodeAddress& machine) override { frozen.push_back(machine); }
  bool contains(const base::NodeAddress& /*address*/) const override { return true; }

  /** Sends three messages at once under the schedule. */
  std::uint64_t sendThree(const Schedule& schedule) {
    DeviatingNetwork deviating(world, network, *this, schedule);
    deviating.keepTrace();
    deviating.open();
    for (int count = 0; count < 3; ++count) {
      first_calls.notify(second, wire::Acknowledgement{});
    }
    world.runFor(milliseconds(100));
    received_soon = received;
    world.runFor(seconds(10));
    trace = deviating.trace();
    EXPECT_EQ(deviating.states().size(), deviating.messages());
    return deviating.fingerprint();
  }

  const base::NodeAddress first{"127.0.0.1", 1};
  const base::NodeAddress second{"127.0.0.1", 2};
  simulation::World world{1};
  simulation::Network network{world};
  simulation::Process first_process{world};
  simulation::Process second_process{world};
  std::unique_ptr<transport::Transport> first_transport = network.attach(first, first_process);
  std::unique_ptr<transport::Transport> second_transport = network.attach(second, second_process);
  transport::PeerCalls first_calls{first_process, *first_transport};
  transport::PeerCalls second_calls{second_process, *second_transport};
  int received = 0;
  int received_soon = 0;
  std::vector<std::string> trace;
  std::vector<base::NodeAddress> killed;
  std::vector<base::NodeAddress> wiped;
  std::vector<base::NodeAddress> frozen;
};

TEST_F(DeviatingNetworkTest, MessagesAreLostDelayedAndDuplicated) {
  sendThree({{0, DeviationKind::LoseMessage}});
  EXPECT_EQ(received, 2);
  received = 0;
  sendThree({{1, DeviationKind::DelayMessage}});
  EXPECT_EQ(received_soon, 2);
  EXPECT_EQ(received, 3);
  received = 0;
  sendThree({{2, DeviationKind::DuplicateMessage}});
  EXPECT_EQ(received, 4);
}

TEST_F(DeviatingNetworkTest, KilledSenderSendsNothingAfterTheMessage) {
  sendThree({{1, DeviationKind::KillSender}});
  EXPECT_EQ(received, 2);
  EXPECT_EQ(killed, std::vector<base::NodeAddress>{first});
  EXPECT_EQ(trace.size(), 2U);
}

TEST_F(DeviatingNetworkTest, EachKindDisturbsItsMachine) {
  sendThree({{0, DeviationKind::KillReceiver},
             {1, DeviationKind::FreezeSender},
             {2, DeviationKind::WipeReceiver}});
  EXPECT_EQ(killed, std::vector<base::NodeAddress>{second});
  EXPECT_EQ(frozen, std::vector<base::NodeAddress>{first});
  EXPECT_EQ(wiped, std::vector<base::NodeAddress>{second});
}

TEST_F(DeviatingNetworkTest, FingerprintsTellRunsApartThatSentTheSameMessages) {
  EXPECT_EQ(sendThree({}), sendThree({}));
  EXPECT_NE(sendThree({}), sendThree({{2, DeviationKind::KillReceiver}}));
}

}  // namespace
}  // namespace switchsaddle::exploration
