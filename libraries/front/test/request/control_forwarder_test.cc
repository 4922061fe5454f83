#include "switchsaddle/front/request/control_forwarder.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "switchsaddle/simulation/network.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

using std::chrono::seconds;

/** A core node that replies, or only records the requests it receives. */
struct Core {
  Core(simulation::World& world, simulation::Network& network, const base::NodeAddress& address,
       bool replies)
      : process(world), transport(network.attach(address, process)), calls(process, *transport) {
    calls.handle<wire::ControlRequest>(
        [this, replies](const auto&, const wire::ControlRequest&, const auto& reply) {
          ++requests;
          if (replies) {
            reply(wire::ControlReply{200, "{}"});
          }
        });
  }

  simulation::Process process;
  std::unique_ptr<transport::Transport> transport;
  transport::PeerCalls calls;
  int requests = 0;
};

class ControlForwarderTest : public testing::Test {
 protected:
  void forward() {
    http::Request request{"POST", "/v1/zones/a/evacuation", {}, R"({"change_id":"1"})"};
    request.client = client_;
    forwarder_.forward(request, [this](http::Response answer) { response_ = std::move(answer); });
  }

  simulation::World world_{1};
  simulation::Network network_{world_};
  simulation::Process process_{world_};
  std::unique_ptr<transport::Transport> transport_ = network_.attach({"127.0.0.1", 1}, process_);
  transport::PeerCalls calls_{process_, *transport_};
  Core silent_{world_, network_, {"127.0.0.2", 1}, false};
  Core sound_{world_, network_, {"127.0.0.3", 1}, true};
  ControlForwarder forwarder_{
      calls_, [] {
        return std::vector<base::NodeAddress>{{"127.0.0.2", 1}, {"127.0.0.3", 1}};
      }};
  std::shared_ptr<http::ClientPresence> client_ = std::make_shared<http::ClientPresence>();
  std::optional<http::Response> response_;
};

TEST_F(ControlForwarderTest, TriesTheNextCoreWhileTheOperatorWaits) {
  forward();
  world_.runFor(seconds(10));
  EXPECT_EQ(silent_.requests, 1);
  EXPECT_EQ(sound_.requests, 1);
  ASSERT_TRUE(response_.has_value());
  EXPECT_EQ(response_->status, 200);
}

TEST_F(ControlForwarderTest, SendsNothingMoreOnceTheOperatorHasLeft) {
  forward();
  world_.runFor(seconds(1));
  client_->leave();
  world_.runFor(seconds(10));
  EXPECT_EQ(silent_.requests, 1);
  EXPECT_EQ(sound_.requests, 0);
  EXPECT_TRUE(response_.has_value());
}

}  // namespace
}  // namespace switchsaddle::front
