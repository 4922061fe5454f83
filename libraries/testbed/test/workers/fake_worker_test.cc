#include "switchsaddle/testbed/workers/fake_worker.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::testbed {
namespace {

using std::chrono::seconds;

class RecordingWriter : public http::ResponseWriter {
 public:
  void respond(http::Response response) override {
    head = std::move(response);
    ended = true;
  }
  void startStream(http::Response response) override { head = std::move(response); }
  void writeChunk(std::string chunk, std::function<void(bool)> written) override {
    body += chunk;
    written(true);
  }
  void endStream() override { ended = true; }
  void abort() override { aborted = true; }
  void onClientDisconnected(std::function<void()> callback) override {
    client_disconnected = std::move(callback);
  }

  http::Response head;
  std::string body;
  bool ended = false;
  bool aborted = false;
  std::function<void()> client_disconnected;
};

/** Refuses every exchange. */
class NoClient : public http::Client {
 public:
  std::shared_ptr<http::Exchange> start(const base::NodeAddress&, http::Request,
                                        const http::ExchangeOptions&,
                                        std::shared_ptr<http::ExchangeObserver> observer) override {
    observer->onFailure(http::ExchangeFailure::NotConnected, true);
    return nullptr;
  }
  void fetch(const base::NodeAddress&, http::Request, const http::ExchangeOptions&,
             std::function<void(const http::Response*, http::ExchangeFailure)> callback) override {
    callback(nullptr, http::ExchangeFailure::NotConnected);
  }
};

class ListSink : public EventSink {
 public:
  void append(const WorkerEvent& event) override { events.push_back(event); }
  std::size_t count(const std::string& event) const {
    return std::count_if(events.begin(), events.end(),
                         [&event](const WorkerEvent& line) { return line.event == event; });
  }
  std::vector<WorkerEvent> events;
};

class FakeWorkerTest : public testing::Test {
 protected:
  static WorkerOptions options() {
    WorkerOptions options;
    options.id = "w1";
    options.models = {"small"};
    options.slots = 1;
    options.queue_bound = 1;
    return options;
  }
  std::shared_ptr<RecordingWriter> post(const std::string& path, const std::string& body,
                                        const std::string& request_id = "r1") {
    http::Request request;
    request.method = "POST";
    request.target = path;
    request.headers = {{"Request-Id", request_id},
                       {"Tenant", "t1"},
                       {"Idempotency-Key", "k1"},
                       {"Caller-Request-Id", "caller-1"}};
    request.body = body;
    auto writer = std::make_shared<RecordingWriter>();
    worker_.handle(request, writer);
    return writer;
  }
  std::shared_ptr<RecordingWriter> stream(const std::string& request_id = "r1") {
    return post("/v1/chat/completions",
                R"({"model":"small","max_tokens":3,"stream":true,"messages":[],)"
                R"("prefix_parts":[{"id":"menu","tokens":100}]})",
                request_id);
  }
  void order(const std::string& fault) { post("/testbed/faults", fault); }

  simulation::World world_{1};
  simulation::Process process_{world_};
  NoClient client_;
  ListSink sink_;
  int crashes_ = 0;
  FakeWorker worker_{options(), process_, client_, sink_, [this] { ++crashes_; }};
};

TEST_F(FakeWorkerTest, StreamsNumberedChunksAndTheEnd) {
  const auto writer = stream();
  world_.runFor(seconds(5));
  EXPECT_TRUE(writer->ended);
  EXPECT_EQ(writer->head.header("Request-Id"), "r1");
  EXPECT_NE(writer->body.find("id: 0\n"), std::string::npos);
  EXPECT_NE(writer->body.find("id: 2\n"), std::string::npos);
  EXPECT_NE(writer->body.find("id: 3\ndata: [DONE]\n\n"), std::string::npos);
  ASSERT_EQ(sink_.count("end"), 1U);
  EXPECT_EQ(sink_.events.back().chunks, 3U);
  EXPECT_TRUE(worker_.idle());
}

TEST_F(FakeWorkerTest, ReportsCachedTokensOfASecondPrompt) {
  const auto first = stream("r1");
  world_.runFor(seconds(5));
  const auto second = stream("r2");
  world_.runFor(seconds(5));
  EXPECT_EQ(first->head.header("Cached-Tokens"), "0");
  EXPECT_EQ(second->head.header("Cached-Tokens"), "100");
}

TEST_F(FakeWorkerTest, QueuesThenRefuses) {
  const auto first = stream("r1");
  const auto second = stream("r2");
  const auto third = stream("r3");
  EXPECT_EQ(third->head.status, 503);
  EXPECT_EQ(third->head.header("Not-Run"), "true");
  EXPECT_EQ(third->head.header("Request-Id"), "r3");
  EXPECT_EQ(sink_.count("refused"), 1U);
  world_.runFor(seconds(10));
  EXPECT_TRUE(first->ended);
  EXPECT_TRUE(second->ended);
  EXPECT_EQ(sink_.count("start"), 2U);
}

TEST_F(FakeWorkerTest, ADisconnectedCallerFreesItsSlot) {
  const auto first = stream("r1");
  const auto second = stream("r2");
  first->client_disconnected();
  world_.runFor(seconds(5));
  EXPECT_EQ(sink_.count("cancelled"), 1U);
  EXPECT_TRUE(second->ended);
}

TEST_F(FakeWorkerTest, StreamFaultsChangeIndicesAndRunIds) {
  struct Case {
    const char* mode;
    const char* shown;
    const char* missing;
  };
  for (const Case& fault : {Case{"gap", "id: 3\n", "id: 1\n"}, Case{"repeat", "id: 0\n", "id: 3\n"},
                            Case{"change-run", "-other", "none"}}) {
    order(std::string(R"({"mode":")") + fault.mode + R"(","after_pieces":1,"count":1})");
    const auto writer = stream();
    world_.runFor(seconds(5));
    EXPECT_NE(writer->body.find(fault.shown), std::string::npos) << fault.mode;
    EXPECT_EQ(writer->body.find(fault.missing), std::string::npos) << fault.mode;
  }
}

TEST_F(FakeWorkerTest, CutStreamsHaveNoDoneEvent) {
  order(R"({"mode":"cut","after_pieces":2,"count":1})");
  const auto cut = stream();
  world_.runFor(seconds(5));
  EXPECT_TRUE(cut->aborted);
  order(R"({"mode":"silent-close","after_pieces":2,"count":1})");
  const auto silent = stream();
  world_.runFor(seconds(5));
  EXPECT_TRUE(silent->ended);
  EXPECT_EQ(cut->body.find("DONE"), std::string::npos);
  EXPECT_EQ(silent->body.find("DONE"), std::string::npos);
  EXPECT_EQ(sink_.count("end"), 0U);
}

TEST_F(FakeWorkerTest, CrashesImmediatelyOrAfterChunks) {
  order(R"({"mode":"crash","after_pieces":2})");
  EXPECT_EQ(crashes_, 0);
  const auto writer = stream();
  world_.runFor(seconds(5));
  EXPECT_EQ(crashes_, 1);
  EXPECT_EQ(writer->body.find("id: 2\n"), std::string::npos);
  order(R"({"mode":"crash"})");
  EXPECT_EQ(crashes_, 2);
}

TEST_F(FakeWorkerTest, OneShotsRunOnceAndAnswer) {
  const auto writer = post("/v1/one-shots", R"({"service":"confirmations"})");
  world_.runFor(seconds(1));
  EXPECT_EQ(writer->head.status, 200);
  EXPECT_NE(writer->head.body.find("result"), std::string::npos);
  EXPECT_EQ(sink_.count("start"), 1U);
  EXPECT_EQ(sink_.count("end"), 1U);
  EXPECT_EQ(sink_.events.back().idempotency_key, "k1");
  EXPECT_EQ(sink_.events.back().request_id, "r1");
  EXPECT_EQ(sink_.events.back().caller_request_id, "caller-1");
}

TEST_F(FakeWorkerTest, OneShotAnswersCanBeCrossedLateOrLost) {
  order(R"({"mode":"crossed","count":1})");
  const auto crossed = post("/v1/one-shots", "{}");
  world_.runFor(seconds(1));
  EXPECT_NE(crossed->head.header("Request-Id"), "r1");
  order(R"({"mode":"late","delay_ms":3000,"count":1})");
  const auto late = post("/v1/one-shots", "{}");
  world_.runFor(seconds(1));
  EXPECT_FALSE(late->ended);
  world_.runFor(seconds(3));
  EXPECT_TRUE(late->ended);
  order(R"({"mode":"silent-close","count":1})");
  const auto lost = post("/v1/one-shots", "{}");
  world_.runFor(seconds(1));
  EXPECT_TRUE(lost->aborted);
  EXPECT_EQ(sink_.count("start"), 3U);
}

TEST_F(FakeWorkerTest, RefusesAndDrainsWhenTheFaultIsSet) {
  order(R"({"mode":"refuse","count":1})");
  EXPECT_EQ(stream()->head.status, 503);
  order(R"({"mode":"drain"})");
  const auto writer = stream();
  world_.runFor(seconds(5));
  EXPECT_EQ(writer->head.header("Worker-State"), "draining");
}

TEST_F(FakeWorkerTest, AnswersInvalidRequestsWithClientErrors) {
  EXPECT_EQ(post("/v1/chat/completions", "{")->head.status, 400);
  EXPECT_EQ(post("/v1/chat/completions", R"({"model":"none"})")->head.status, 404);
  EXPECT_EQ(post("/testbed/faults", R"({"mode":"unheard"})")->head.status, 400);
  EXPECT_EQ(post("/nowhere", "")->head.status, 404);
}

TEST_F(FakeWorkerTest, AnswersBadGatewayIfTheDecodeWorkerIsUnreachable) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Request-Id", "r1"}, {"Decode-Worker", "127.0.0.1:9"}};
  request.body = R"({"model":"small","max_tokens":3})";
  auto writer = std::make_shared<RecordingWriter>();
  worker_.handle(request, writer);
  world_.runFor(seconds(5));
  EXPECT_EQ(writer->head.status, 502);
  EXPECT_TRUE(worker_.idle());
}

TEST(WorkerEventTest, RoundTripsAsAJsonLine) {
  WorkerEvent event;
  event.at_ms = 12;
  event.event = "start";
  event.kind = "one-shot";
  event.run = "w1-1";
  event.idempotency_key = "k\"1";
  const WorkerEvent read = parseWorkerEvent(toJsonLine(event));
  EXPECT_EQ(read.at_ms, 12);
  EXPECT_EQ(read.idempotency_key, event.idempotency_key);
  EXPECT_EQ(read.run, event.run);
}

}  // namespace
}  // namespace switchsaddle::testbed
