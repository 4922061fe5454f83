#include "switchsaddle/front/node/front_node.h"

#include <gtest/gtest.h>

#include "fakes.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::front {
namespace {

const base::NodeAddress FrontAddress{"127.0.0.1", 1};
const base::NodeAddress CoreAddress{"127.0.0.2", 1};

/** A core node that grants every session and serves one configuration and worker list. */
struct FakeCore {
  FakeCore(simulation::World& world, simulation::Network& network)
      : process(world),
        transport(network.attach(CoreAddress, process)),
        calls(process, *transport),
        journal(process),
        replica(journal),
        gossip(process, calls, world.random(), replica, directory, {}) {
    calls.handle<wire::SessionOpenRequest>([this](const base::NodeAddress& from,
                                                  const wire::SessionOpenRequest& request,
                                                  const transport::ReplyFunction& reply) {
      closed = closed || request.record.closed;
      reply(wire::SessionOpenReply{
          true, request.record.sequence, replica.version(), {CoreAddress}, {from}});
    });
    std::vector<configuration::Fault> faults;
    const configuration::Document document = configuration::parseConfigurationFile(
        R"({"shapes/chat": {"services": ["completions"]},
            "tenants/editors": {"shape": "chat", "stream_branch": "root", "one_shot_branch": "root"},
            "share/root": {"slots": 10},
            "routes/large": {"service": "completions", "models": ["large"], "pool": "models"},
            "keys/k": {"sha256": ")" +
            configuration::sha256Hex("secret") + R"(", "tenant": "editors"}})",
        faults);
    EXPECT_TRUE(faults.empty());
    EXPECT_EQ(replica.apply(document.deltaSince(0)), dissemination::ApplyOutcome::Applied);
    wire::WorkerView view;
    view.term = 1;
    view.sequence = 1;
    wire::WorkerEntry worker;
    worker.id = "w1";
    worker.address = {"127.0.0.9", 1};
    worker.models = {"large"};
    worker.service = "models";
    worker.slots = 4;
    view.workers = {worker};
    directory.applyView(view);
  }

  simulation::Process process;
  std::unique_ptr<transport::Transport> transport;
  transport::PeerCalls calls;
  journal::Journal journal;
  dissemination::ConfigurationReplica replica;
  workers::WorkerDirectory directory;
  dissemination::GossipAgent gossip;
  bool closed = false;
};

/** A writer that records the response. */
class RecordingWriter : public http::ResponseWriter {
 public:
  void respond(http::Response value) override { response = std::move(value); }
  void startStream(http::Response value) override { response = std::move(value); }
  void writeChunk(std::string chunk, std::function<void(bool)> written) override {
    chunks += chunk;
    written(true);
  }
  void endStream() override { ended = true; }
  void abort() override {}
  void onClientDisconnected(std::function<void()>) override {}

  std::optional<http::Response> response;
  std::string chunks;
  bool ended = false;
};

class FrontNodeTest : public testing::Test {
 protected:
  FrontNodeTest() {
    settings.seeds = {CoreAddress};
    node = std::make_unique<FrontNode>(
        FrontEnvironment{process, calls, world.random(), journal, settings, workers, 7, &slots});
    node->start();
  }
  std::shared_ptr<RecordingWriter> stream() {
    auto writer = std::make_shared<RecordingWriter>();
    node->service().enqueue(
        http::Request{
            "POST",
            "/v1/chat/completions",
            {{"Authorization", "Bearer secret"}},
            R"({"model":"large","stream":true,"messages":[{"role":"user","content":"hi"}]})"},
        writer);
    world.runFor(std::chrono::milliseconds(10));
    return writer;
  }
  bool becomesReady() {
    return world.runUntil(
        [this] { return node->ready() && !node->directory().snapshot()->workers.empty(); },
        std::chrono::seconds(10));
  }

  simulation::World world{1};
  simulation::Network network{world};
  std::unique_ptr<FakeCore> core = std::make_unique<FakeCore>(world, network);
  simulation::Process process{world};
  std::unique_ptr<transport::Transport> transport = network.attach(FrontAddress, process);
  transport::PeerCalls calls{process, *transport};
  journal::Journal journal{process};
  configuration::Settings settings;
  FakeWorkers workers;
  FakeSlots slots;
  std::unique_ptr<FrontNode> node;
};

TEST_F(FrontNodeTest, BecomesReadyOnceTheConfigurationIsInForce) {
  EXPECT_FALSE(node->ready());
  ASSERT_TRUE(becomesReady());
  EXPECT_EQ(node->replica().version(), 1U);
  const auto writer = stream();
  ASSERT_EQ(workers.sent.size(), 1U);
  workers.sent[0].head();
  workers.sent[0].bytes("id: 0\ndata: [DONE]\n\n");
  world.runFor(std::chrono::milliseconds(10));
  EXPECT_TRUE(writer->ended);
}

TEST_F(FrontNodeTest, FrozenNodeResumesWithoutDispatching) {
  ASSERT_TRUE(becomesReady());
  process.freeze();
  const auto writer = stream();
  world.runFor(std::chrono::seconds(20));
  process.wake();
  world.runFor(std::chrono::milliseconds(1));
  EXPECT_TRUE(workers.sent.empty());
  ASSERT_TRUE(writer->response);
  EXPECT_EQ(writer->response->status, 503);
}

TEST_F(FrontNodeTest, PartitionFromTheCoreRejectsNewRequestsButNotOpenStreams) {
  ASSERT_TRUE(becomesReady());
  const auto open = stream();
  network.cut(FrontAddress, CoreAddress);
  world.runFor(std::chrono::seconds(3));
  EXPECT_FALSE(node->ready());
  EXPECT_EQ(stream()->response->status, 503);
  workers.sent[0].head();
  workers.sent[0].bytes("id: 0\ndata: [DONE]\n\n");
  world.runFor(std::chrono::milliseconds(10));
  EXPECT_TRUE(open->ended);
  network.healAll();
  EXPECT_TRUE(becomesReady());
}

TEST_F(FrontNodeTest, StopsOnceOpenStreamsHaveEnded) {
  ASSERT_TRUE(becomesReady());
  const auto open = stream();
  bool stopped = false;
  node->stop([&stopped] { stopped = true; });
  EXPECT_FALSE(node->ready());
  EXPECT_EQ(stream()->response->status, 503);
  world.runFor(std::chrono::seconds(2));
  EXPECT_FALSE(stopped);
  workers.sent[0].head();
  workers.sent[0].bytes("id: 0\ndata: [DONE]\n\n");
  EXPECT_TRUE(world.runUntil([&stopped] { return stopped; }, std::chrono::seconds(5)));
  EXPECT_TRUE(open->ended);
  EXPECT_TRUE(core->closed);
}

TEST_F(FrontNodeTest, StopsAtItsDeadlineWithOpenStreams) {
  ASSERT_TRUE(becomesReady());
  stream();
  bool stopped = false;
  node->stop([&stopped] { stopped = true; });
  EXPECT_TRUE(world.runUntil([&stopped] { return stopped; }, std::chrono::seconds(30)));
}

}  // namespace
}  // namespace switchsaddle::front
