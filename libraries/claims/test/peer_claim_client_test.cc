#include "switchsaddle/claims/peer_claim_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <vector>

#include "switchsaddle/simulation/network.h"

namespace switchsaddle::claims {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A client and five cores that reply to each claim after a delay. */
class SlowClaimCoresTest : public testing::Test {
 protected:
  struct Core {
    Core(simulation::World& world, simulation::Network& network, const base::NodeAddress& address)
        : process(world), transport(network.attach(address, process)), calls(process, *transport) {}

    simulation::Process process;
    std::unique_ptr<transport::Transport> transport;
    transport::PeerCalls calls;
    base::Duration reply_delay = milliseconds(1);
    std::size_t requests = 0;
  };

  SlowClaimCoresTest() {
    for (std::uint16_t index = 0; index < 5; ++index) {
      addresses_.push_back({"127.0.0.1", static_cast<std::uint16_t>(7'000 + index)});
      cores_.push_back(std::make_unique<Core>(world_, network_, addresses_.back()));
      Core& core = *cores_.back();
      core.calls.handle<wire::ClaimBegin>(
          [&core](const auto&, const wire::ClaimBegin&, const transport::ReplyFunction& reply) {
            ++core.requests;
            wire::ClaimReply claim;
            claim.available = true;
            core.process.postAfter(core.reply_delay, [reply, claim] { reply(claim); });
          });
    }
  }

  void begin() {
    begun_at_ = world_.now();
    client_.begin({}, [this](const wire::ClaimReply& reply) {
      ++replies_;
      reply_ = reply;
      duration_ = world_.now() - begun_at_;
    });
  }
  std::size_t requests() const {
    std::size_t sum = 0;
    for (const auto& core : cores_) {
      sum += core->requests;
    }
    return sum;
  }

  simulation::World world_{1};
  simulation::Network network_{world_};
  std::vector<base::NodeAddress> addresses_;
  std::vector<std::unique_ptr<Core>> cores_;
  simulation::Process process_{world_};
  std::unique_ptr<transport::Transport> transport_ =
      network_.attach({"127.0.0.1", 7'100}, process_);
  transport::PeerCalls calls_{process_, *transport_};
  PeerClaimClient client_{process_, calls_, [this] { return addresses_; }};
  base::TimePoint begun_at_;
  std::optional<wire::ClaimReply> reply_;
  base::Duration duration_{};
  std::size_t replies_ = 0;
};

TEST_F(SlowClaimCoresTest, UsesAReplyThatArrivesAfterTheCoreTimeout) {
  for (const auto& core : cores_) {
    core->reply_delay = milliseconds(500);
  }
  begin();
  world_.runFor(seconds(5));
  ASSERT_EQ(replies_, 1U);
  EXPECT_TRUE(reply_->available);
  EXPECT_LT(duration_, milliseconds(510));
  EXPECT_EQ(requests(), 2U);
}

TEST_F(SlowClaimCoresTest, SendsNoSecondRequestToACoreWithAnOutstandingOne) {
  for (const auto& core : cores_) {
    core->reply_delay = seconds(10);
  }
  begin();
  world_.runFor(seconds(5));
  ASSERT_EQ(replies_, 1U);
  EXPECT_FALSE(reply_->available);
  EXPECT_GE(duration_, seconds(2));
  EXPECT_LT(duration_, milliseconds(2'100));
  EXPECT_EQ(requests(), 5U);
}

}  // namespace
}  // namespace switchsaddle::claims
