#include "switchsaddle/dissemination/gossip_agent.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>

#include "switchsaddle/simulation/network.h"

namespace switchsaddle::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One simulated node with an agent. */
struct Node {
  Node(simulation::World& world, simulation::Network& network, std::uint16_t port)
      : address{"127.0.0.1", port},
        process(world),
        transport(network.attach(address, process)),
        random(port) {}

  base::NodeAddress address;
  simulation::Process process;
  std::unique_ptr<transport::Transport> transport;
  transport::PeerCalls calls{process, *transport};
  base::RandomSource random;
  journal::Journal journal{process};
  ConfigurationReplica replica{journal};
  workers::WorkerDirectory workers;
  GossipAgent agent{process, calls, random, replica, workers, GossipOptions{}};
};

configuration::Document documentWithRoutes(int routes) {
  configuration::Document document;
  for (int index = 0; index < routes; ++index) {
    configuration::Change change;
    change.base_version = document.version;
    const std::string name = std::to_string(index);
    change.set.push_back({"routes/r" + name,
                          R"({"models":["m)" + name + R"("],"pool":"p","service":"completions"})"});
    document = configuration::applyChange(document, change);
  }
  return document;
}

class GossipAgentTest : public testing::Test {
 protected:
  static constexpr std::uint16_t FirstPort = 7000;

  void addNodes(int count) {
    std::vector<base::NodeAddress> addresses;
    for (int index = 0; index < count; ++index) {
      nodes_.push_back(
          std::make_unique<Node>(world_, network_, static_cast<std::uint16_t>(FirstPort + index)));
      addresses.push_back(nodes_.back()->address);
    }
    for (const auto& node : nodes_) {
      node->agent.setPeers(addresses);
      node->agent.start();
    }
  }

  template <class Condition>
  bool untilAll(Condition condition, base::Duration limit) {
    return world_.runUntil(
        [&] {
          return std::all_of(nodes_.begin(), nodes_.end(),
                             [&](const auto& node) { return condition(*node); });
        },
        limit);
  }

  simulation::World world_{7};
  simulation::Network network_{world_};
  std::vector<std::unique_ptr<Node>> nodes_;
};

TEST_F(GossipAgentTest, AConfigurationAppliedAtOneNodeReachesAllNodes) {
  addNodes(14);
  const configuration::Document document = documentWithRoutes(3);
  ASSERT_EQ(nodes_[0]->replica.apply(document.deltaSince(0)), ApplyOutcome::Applied);
  EXPECT_TRUE(untilAll([&](Node& node) { return node.replica.digest() == document.digest(); },
                       seconds(10)));
}

TEST_F(GossipAgentTest, UpdatesReachAllNodesOverALossyNetwork) {
  network_.conditions.loss = 0.2;
  network_.conditions.duplication = 0.1;
  addNodes(14);
  const configuration::Document document = documentWithRoutes(3);
  nodes_[0]->replica.apply(document.deltaSince(0));
  nodes_[1]->agent.publishView({1, 1, {}});
  nodes_[2]->agent.observe({"a", 1, false, true});
  EXPECT_TRUE(untilAll(
      [&](Node& node) {
        return node.replica.version() == 3 && node.workers.view().sequence == 1 &&
               node.workers.observations().size() == 1;
      },
      seconds(30)));
}

TEST_F(GossipAgentTest, AnObservationReachesMostNodesWithinFiftyMilliseconds) {
  addNodes(14);
  nodes_[3]->agent.observe({"a", 1, true, false});
  world_.runFor(milliseconds(50));
  int reached = 0;
  for (const auto& node : nodes_) {
    reached += node->workers.observations().empty() ? 0 : 1;
  }
  EXPECT_GE(reached, 10);
}

TEST_F(GossipAgentTest, EachNodePushesAnObservationOnce) {
  addNodes(10);
  for (const auto& node : nodes_) {
    node->agent.stop();
  }
  nodes_[0]->agent.observe({"a", 1, true, false});
  nodes_[0]->agent.observe({"a", 1, true, false});
  world_.runFor(seconds(5));
  EXPECT_LE(network_.envelopesSent(), 10U * GossipOptions{}.fanout);
}

TEST_F(GossipAgentTest, FetchesTheVersionsMissingBeforeAPushedDeltaFromItsSender) {
  addNodes(2);
  for (const auto& node : nodes_) {
    node->agent.stop();
  }
  const configuration::Document document = documentWithRoutes(4);
  nodes_[0]->replica.apply(document.deltaSince(0));
  nodes_[0]->calls.notify(nodes_[1]->address, document.deltaSince(3));
  world_.runFor(milliseconds(100));
  EXPECT_EQ(nodes_[1]->replica.version(), 4U);
}

TEST_F(GossipAgentTest, ScoresAreSentWithAntiEntropyReplies) {
  addNodes(2);
  nodes_[0]->agent.setScoreSource([] {
    wire::RouteScore score;
    score.model = "m";
    score.arm = "a";
    return std::vector<wire::RouteScore>{score};
  });
  std::vector<wire::RouteScore> received;
  nodes_[1]->agent.setScoreSink([&](const auto& scores) { received = scores; });
  world_.runFor(seconds(3));
  ASSERT_EQ(received.size(), 1U);
  EXPECT_EQ(received.front().arm, "a");
}

TEST_F(GossipAgentTest, AReplyHasABoundedBatchOfScores) {
  constexpr std::size_t Arms = 300;
  addNodes(2);
  nodes_[0]->agent.setScoreSource([] {
    std::vector<wire::RouteScore> scores(Arms);
    for (std::size_t index = 0; index < Arms; ++index) {
      scores[index].arm = "arm-" + std::to_string(index);
      scores[index].age_ms = static_cast<std::uint32_t>(index == 250 ? 0 : 1'000 + index);
    }
    return scores;
  });
  std::set<std::string> received;
  bool most_recent_in_each = true;
  nodes_[1]->agent.setScoreSink([&](const std::vector<wire::RouteScore>& scores) {
    EXPECT_LE(scores.size(), GossipOptions{}.score_batch);
    bool has_most_recent = false;
    for (const wire::RouteScore& score : scores) {
      received.insert(score.arm);
      has_most_recent = has_most_recent || score.arm == "arm-250";
    }
    most_recent_in_each = most_recent_in_each && has_most_recent;
  });
  world_.runFor(seconds(600));
  EXPECT_TRUE(most_recent_in_each);
  // The other 8 scores of each reply are random: after 600 replies, at most a few arms are missing.
  EXPECT_GE(received.size(), Arms - 5);
}

TEST_F(GossipAgentTest, AChangedWorkerIsSentWithoutTheCompleteView) {
  addNodes(8);
  wire::WorkerView view{1, 1, {}};
  for (int index = 0; index < 500; ++index) {
    wire::WorkerEntry worker;
    worker.id = "worker-" + std::to_string(index);
    view.workers.push_back(worker);
  }
  nodes_[0]->agent.publishView(view);
  ASSERT_TRUE(untilAll([](Node& node) { return node.workers.view().sequence == 1; }, seconds(10)));
  const std::uint64_t before = network_.bytesSent();
  view.sequence = 2;
  view.workers[77].state = wire::WorkerState::Draining;
  nodes_[0]->agent.publishView(view);
  world_.runFor(milliseconds(100));
  const auto reached = std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) {
    return node->workers.view().sequence == 2 && node->workers.view().workers.size() == 500;
  });
  EXPECT_GE(reached, 6);
  EXPECT_LE(network_.bytesSent() - before, 10'000U);
}

TEST_F(GossipAgentTest, PullsTheViewFromTheSenderOfAChangeWithAnotherBase) {
  addNodes(2);
  for (const auto& node : nodes_) {
    node->agent.stop();
  }
  wire::WorkerView view{1, 1, {}};
  view.workers.emplace_back().id = "a";
  nodes_[0]->workers.applyView(view);
  view.sequence = 2;
  view.workers.emplace_back().id = "b";
  nodes_[0]->agent.publishView(view);
  world_.runFor(milliseconds(100));
  EXPECT_EQ(nodes_[1]->workers.view().sequence, 2U);
  EXPECT_EQ(nodes_[1]->workers.view().workers.size(), 2U);
}

TEST_F(GossipAgentTest, NodesWithEqualStateExchangeOnlyDigests) {
  addNodes(4);
  nodes_[0]->agent.observe({"a", 1, true, false});
  world_.runFor(seconds(5));
  const std::uint64_t before = network_.envelopesSent();
  world_.runFor(seconds(10));
  // One request and one reply per node and second.
  EXPECT_LE(network_.envelopesSent() - before, 4U * 2U * 11U);
}

}  // namespace
}  // namespace switchsaddle::dissemination
