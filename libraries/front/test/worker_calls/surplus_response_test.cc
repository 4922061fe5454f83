#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <optional>

#include "switchsaddle/front/worker_calls/http_forward_port.h"
#include "switchsaddle/front/worker_calls/http_worker_port.h"
#include "switchsaddle/transport/asio_dispatcher.h"
#include "worker_calls/scripted_worker.h"

namespace switchsaddle::front {
namespace {

/** Records what reaches the run of one dispatch. */
template <class Head>
class Recorder : public ResponseObserver<Head> {
 public:
  void onHead(const Head& value) override { heads.push_back(value); }
  void onBytes(std::string bytes, std::function<void()> resume) override {
    body += bytes;
    resume();
  }
  void onComplete() override { complete = true; }
  void onFailure(WorkerFailure value, bool /*refused*/) override { failure = value; }
  bool ended() const { return complete || failure; }

  std::vector<Head> heads;
  std::string body;
  bool complete = false;
  std::optional<WorkerFailure> failure;
};

using ForwardRecorder = Recorder<http::Response>;
using WorkerRecorder = Recorder<WorkerHead>;

/** A response of a worker that a front may receive in place of the one that is due. */
struct Surplus {
  int status;
  const char* header_lines;
};

class WorkerConnectionTest : public testing::Test {
 protected:
  static std::string answerTo(const std::string& id) {
    return ScriptedWorker::response(200, "Request-Id: " + id + "\r\n", "answer to " + id);
  }
  std::shared_ptr<ForwardRecorder> forward(const std::string& id) {
    ForwardDispatch dispatch;
    dispatch.worker = worker.address();
    dispatch.message.method = "POST";
    dispatch.message.target = "/";
    dispatch.message.headers = {{"Request-Id", id}};
    dispatch.request_id_header = "Request-Id";
    dispatch.request_id = id;
    auto recorder = std::make_shared<ForwardRecorder>();
    call = forward_port.forward(dispatch, recorder);
    runUntilEnded(*recorder);
    return recorder;
  }
  std::shared_ptr<WorkerRecorder> send(const std::string& id) {
    WorkerRequest request;
    request.address = worker.address();
    request.target = "/v1/chat/completions";
    request.request_id = id;
    auto recorder = std::make_shared<WorkerRecorder>();
    call = worker_port.send(request, recorder);
    runUntilEnded(*recorder);
    return recorder;
  }
  template <class Observer>
  void runUntilEnded(const Observer& recorder) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!recorder.ended() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
  }

  boost::asio::io_context context;
  transport::AsioDispatcher dispatcher{context};
  std::unique_ptr<http::Client> client = http::createClient(context);
  HttpForwardPort forward_port{dispatcher, *client};
  HttpWorkerPort worker_port{dispatcher, *client};
  ScriptedWorker worker{context};
  WorkerCallPtr call;
};

class SurplusResponseTest : public WorkerConnectionTest,
                            public testing::WithParamInterface<Surplus> {
 protected:
  static std::string surplus() {
    return ScriptedWorker::response(GetParam().status, GetParam().header_lines, "surplus");
  }
};

TEST_P(SurplusResponseTest, ForwardedRequestOnAReusedConnectionGetsItsOwnAnswer) {
  worker.answerNextWith(answerTo("r1"));
  worker.answerNextWith(surplus() + answerTo("r2"));
  forward("r1");
  const auto recorder = forward("r2");
  ASSERT_EQ(worker.connections(), 1);
  EXPECT_TRUE(recorder->complete);
  ASSERT_EQ(recorder->heads.size(), 1U);
  EXPECT_EQ(recorder->heads.front().status, 200);
  EXPECT_EQ(recorder->body, "answer to r2");
}

TEST_P(SurplusResponseTest, RequestWhoseConnectionEndsAfterASurplusResponseMayHaveRun) {
  worker.answerNextWith(surplus());
  worker.closeAfterScript();
  const auto recorder = forward("r1");
  EXPECT_EQ(recorder->failure, WorkerFailure::Lost);
  EXPECT_TRUE(recorder->heads.empty());
}

TEST_P(SurplusResponseTest, StreamOnAReusedConnectionGetsItsOwnAnswer) {
  worker.answerNextWith(answerTo("q1"));
  worker.answerNextWith(surplus() + answerTo("q2"));
  send("q1");
  const auto recorder = send("q2");
  ASSERT_EQ(worker.connections(), 1);
  EXPECT_TRUE(recorder->complete);
  ASSERT_EQ(recorder->heads.size(), 1U);
  EXPECT_EQ(recorder->heads.front().request_id, "q2");
  EXPECT_EQ(recorder->body, "answer to q2");
}

TEST_F(WorkerConnectionTest, RequestsWithoutAnIdShareNoConnection) {
  worker.answerNextWith(ScriptedWorker::response(200, ""));
  worker.answerNextWith(ScriptedWorker::response(200, ""));
  EXPECT_TRUE(forward("")->complete);
  EXPECT_TRUE(forward("")->complete);
  EXPECT_EQ(worker.connections(), 2);
}

INSTANTIATE_TEST_SUITE_P(Responses, SurplusResponseTest,
                         testing::Values(Surplus{503, "Not-Run: 1\r\n"}, Surplus{503, ""},
                                         Surplus{421, ""}, Surplus{429, "Not-Run: 1\r\n"},
                                         Surplus{408, ""}, Surplus{400, ""}, Surplus{404, ""},
                                         Surplus{500, ""}, Surplus{504, ""}, Surplus{200, ""},
                                         Surplus{503, "Request-Id: r0\r\nNot-Run: 1\r\n"}));

}  // namespace
}  // namespace switchsaddle::front
