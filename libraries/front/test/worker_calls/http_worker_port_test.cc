#include "switchsaddle/front/worker_calls/http_worker_port.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "switchsaddle/http/server.h"
#include "switchsaddle/transport/asio_dispatcher.h"

namespace switchsaddle::front {
namespace {

/** Records the outcome of a request. */
class Recorder : public WorkerObserver {
 public:
  void onHead(const WorkerHead& value) override { head = value; }
  void onBytes(std::string bytes, std::function<void()> resume) override {
    body += bytes;
    resume();
  }
  void onComplete() override { complete = true; }
  void onFailure(WorkerFailure value, bool was_refused) override {
    failure = value;
    refused = was_refused;
  }
  bool ended() const { return complete || failure; }

  std::optional<WorkerHead> head;
  std::string body;
  bool complete = false;
  std::optional<WorkerFailure> failure;
  bool refused = false;
};

class HttpWorkerPortTest : public testing::Test {
 protected:
  void serve(http::RequestHandler handler) {
    server = http::startServer(context, {"127.0.0.1", 0}, {}, std::move(handler));
    address = server->address();
  }
  std::shared_ptr<Recorder> send() {
    auto recorder = std::make_shared<Recorder>();
    WorkerRequest request;
    request.address = address;
    request.target = "/v1/one-shots";
    request.request_id = "q1";
    request.tenant = "editors";
    request.idempotency_key = "k1";
    request.body = "{}";
    request.fresh_connection = true;
    call = port.send(request, recorder);
    return recorder;
  }
  void runUntilEnded(const Recorder& recorder) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!recorder.ended() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
  }

  boost::asio::io_context context;
  transport::AsioDispatcher dispatcher{context};
  std::unique_ptr<http::Client> client = http::createClient(context);
  HttpWorkerPort port{dispatcher, *client};
  std::unique_ptr<http::Server> server;
  base::NodeAddress address;
  WorkerCallPtr call;
};

TEST_F(HttpWorkerPortTest, SendsARequestAndReceivesItsResponse) {
  http::Request seen;
  serve([&seen](http::Request request, const http::ResponseWriterPtr& writer) {
    seen = request;
    http::Response response;
    response.headers = {{"Request-Id", std::string(request.header("Request-Id"))}};
    response.body = "answer";
    writer->respond(response);
  });
  const auto recorder = send();
  runUntilEnded(*recorder);
  EXPECT_TRUE(recorder->complete);
  EXPECT_EQ(recorder->head->request_id, "q1");
  EXPECT_EQ(recorder->body, "answer");
  EXPECT_EQ(seen.header("Idempotency-Key"), "k1");
  EXPECT_EQ(seen.header("Tenant"), "editors");
}

TEST_F(HttpWorkerPortTest, RefusedConnectionIsProvenNotSent) {
  serve({});
  server.reset();
  const auto recorder = send();
  runUntilEnded(*recorder);
  EXPECT_EQ(recorder->failure, WorkerFailure::NotSent);
  EXPECT_TRUE(recorder->refused);
}

TEST_F(HttpWorkerPortTest, AcceptedRequestWithoutResponseIsLost) {
  serve([](const http::Request&, const http::ResponseWriterPtr& writer) { writer->abort(); });
  const auto recorder = send();
  runUntilEnded(*recorder);
  EXPECT_EQ(recorder->failure, WorkerFailure::Lost);
}

TEST_F(HttpWorkerPortTest, CancelledRequestCallsNoObserver) {
  bool answered = false;
  serve([&](const http::Request&, const http::ResponseWriterPtr& writer) {
    call->cancel();
    writer->respond({});
    answered = true;
  });
  const auto recorder = send();
  while (!answered) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(20));
  }
  context.restart();
  context.run_for(std::chrono::milliseconds(1));
  EXPECT_FALSE(recorder->head);
  EXPECT_FALSE(recorder->ended());
}

}  // namespace
}  // namespace switchsaddle::front
