#include "switchsaddle/front/request/caller_service.h"

#include <gtest/gtest.h>

#include "fakes.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/front/request/request_parser.h"
#include "switchsaddle/front/worker_calls/http_worker_port.h"
#include "switchsaddle/simulation/collecting_incidents.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::front {
namespace {

using base::ResultCode;

/** Records the response to one HTTP caller. */
class FakeWriter : public http::ResponseWriter {
 public:
  void respond(http::Response value) override {
    EXPECT_FALSE(response) << "answered twice";
    response = std::move(value);
  }
  void startStream(http::Response value) override { respond(std::move(value)); }
  void writeChunk(std::string chunk, std::function<void(bool)> written) override {
    chunks += chunk;
    written(true);
  }
  void endStream() override { ended = true; }
  void abort() override { ADD_FAILURE(); }
  void onClientDisconnected(std::function<void()> callback) override {
    disconnected = std::move(callback);
  }
  /** @return the code of the error in the response, or 0 if there is none. */
  std::int64_t code() const {
    std::vector<configuration::Fault> faults;
    const auto body = configuration::parseJson(response->body, {}, "", faults);
    const auto* error = body ? body->find("error") : nullptr;
    return error == nullptr ? 0 : error->integerOf("code");
  }

  std::optional<http::Response> response;
  std::string chunks;
  bool ended = false;
  std::function<void()> disconnected;
};

class CallerServiceTest : public testing::Test {
 protected:
  CallerServiceTest() {
    configuration::Tenant tenant;
    tenant.name = "editors";
    tenant.shape.services = {"completions", "orders"};
    fleet_view.view.tenants["editors"] = tenant;
    const std::string hash = configuration::sha256Hex("secret");
    fleet_view.view.keys[hash] = configuration::Key{"k", hash, "editors"};
    fleet_view.view.routes["large"] =
        configuration::Route{"large", "completions", {"large"}, "models"};
    fleet_view.view.routes["orders"] = configuration::Route{"orders", "orders", {}, "ordinary"};
    router.workers = {fleet_view.addWorker("w1", "models")};
    fleet_view.addWorker("w2", "ordinary");
  }
  std::shared_ptr<FakeWriter> send(const std::string& method, const std::string& target,
                                   const std::string& body = "",
                                   const std::string& secret = "secret") {
    auto writer = std::make_shared<FakeWriter>();
    http::Request request{method, target, {{"Idempotency-Key", "k1"}}, body};
    if (!secret.empty()) {
      request.headers.push_back({"Authorization", "Bearer " + secret});
    }
    service.enqueue(std::move(request), writer);
    settle();
    return writer;
  }
  void settle() { world.runFor(std::chrono::milliseconds(1)); }

  const std::string chat = R"({"model":"large","messages":[{"role":"user","content":"hi"}],)";
  const std::string order = R"({"service":"orders","payload":{"n":1}})";
  simulation::World world{1};
  simulation::Process process{world};
  simulation::Network network{world};
  std::unique_ptr<transport::Transport> transport = network.attach({"127.0.0.1", 1}, process);
  transport::PeerCalls calls{process, *transport};
  FakeClaims claims;
  FakeSlots slots;
  FakeSession session;
  FakeRouter router;
  FakeWorkers workers;
  FakeFleetView fleet_view;
  RetryBudget retries{process};
  WorkerCircuit circuit{process};
  Counters counters;
  simulation::CollectingIncidents incidents;
  StreamStages stages;
  StreamFlow streams{StreamEnvironment{process, world.random(), slots, session, router, workers,
                                       fleet_view, retries, circuit, counters, stages}};
  OneShotFlow one_shots{OneShotEnvironment{process, world.random(), claims, slots, session, workers,
                                           fleet_view, retries, circuit, counters}};
  ControlForwarder control{
      calls, [] {
        return std::vector<base::NodeAddress>{{"127.0.0.2", 1}, {"127.0.0.3", 1}};
      }};
  CallerService service{CallerDependencies{process,
                                           session,
                                           fleet_view,
                                           router,
                                           streams,
                                           one_shots,
                                           control,
                                           counters,
                                           {configuration::sha256Hex("operator")},
                                           [] { return std::string("{\"beliefs\":[]}"); },
                                           [this] {
                                             metrics::Page page;
                                             counters.appendTo(page);
                                             return page.text();
                                           },
                                           [] { return std::string("{\"ready\":true}"); },
                                           &incidents}};
};

TEST_F(CallerServiceTest, RelaysAStreamAsEventStream) {
  const auto writer = send("POST", "/v1/chat/completions", chat + "\"stream\":true}");
  ASSERT_EQ(workers.sent.size(), 1U);
  EXPECT_NE(workers.sent[0].request.body.find("\"stream\":true"), std::string::npos);
  workers.sent[0].head();
  workers.sent[0].bytes("id: 0\ndata: {\"run\":\"r1\",\"text\":\"a\"}\n\nid: 1\ndata: [DONE]\n\n");
  settle();
  EXPECT_EQ(writer->response->header("content-type"), "text/event-stream");
  EXPECT_EQ(writer->chunks,
            "id: 0\ndata: {\"run\":\"r1\",\"text\":\"a\"}\n\nid: 1\ndata: [DONE]\n\n");
  EXPECT_TRUE(writer->ended);
}

TEST_F(CallerServiceTest, WorkerGetsTheTokenLimitOfTheShapeIfTheCallerSetsNone) {
  fleet_view.view.tenants["editors"].shape.maximum_tokens = 321;
  send("POST", "/v1/chat/completions", chat + "\"stream\":true}");
  send("POST", "/v1/chat/completions", chat + "\"stream\":true,\"max_tokens\":12}");
  ASSERT_EQ(workers.sent.size(), 2U);
  EXPECT_NE(workers.sent[0].request.body.find("\"max_tokens\":321"), std::string::npos);
  EXPECT_NE(workers.sent[1].request.body.find("\"max_tokens\":12"), std::string::npos);
}

TEST_F(CallerServiceTest, CollectsACompleteStreamAndReportsABrokenOneAsAnError) {
  const auto complete = send("POST", "/v1/chat/completions", chat + "\"stream\":false}");
  workers.sent[0].head();
  workers.sent[0].bytes(
      "id: 0\ndata: {\"run\":\"r1\",\"text\":\"a\"}\n\nid: 1\ndata: {\"text\":\"b\"}\n\n");
  EXPECT_FALSE(complete->response);
  workers.sent[0].bytes("id: 2\ndata: [DONE]\n\n");
  ASSERT_TRUE(complete->response);
  EXPECT_NE(complete->response->body.find("\"content\":\"ab\""), std::string::npos);
  const auto broken = send("POST", "/v1/chat/completions", chat + "\"stream\":false}");
  workers.sent[1].head();
  workers.sent[1].bytes("id: 0\ndata: {\"run\":\"r1\",\"text\":\"a\"}\n\n");
  workers.sent[1].observer->onComplete();
  EXPECT_EQ(broken->response->status, 502);
  EXPECT_EQ(broken->code(), 5001);
}

TEST_F(CallerServiceTest, ResentOneShotGetsTheRecordedAnswer) {
  const auto first = send("POST", "/v1/one-shots", order);
  workers.sent[0].head();
  workers.sent[0].bytes("{\"done\":1}");
  workers.sent[0].observer->onComplete();
  EXPECT_EQ(first->response->body, R"({"outcome":"ran","replayed":false,"answer":{"done":1}})");
  const auto resent = send("POST", "/v1/one-shots", R"({"payload": {"n":1}, "service": "orders"})");
  EXPECT_EQ(resent->response->body, R"({"outcome":"ran","replayed":true,"answer":{"done":1}})");
  EXPECT_EQ(workers.sent.size(), 1U);
}

TEST_F(CallerServiceTest, OneShotOfUnknownOutcomeIsReportedWithItsKeyAndCounted) {
  send("POST", "/v1/one-shots", order);
  workers.sent[0].observer->onFailure(WorkerFailure::Lost, false);
  settle();
  ASSERT_EQ(incidents.all.size(), 1U);
  EXPECT_EQ(incidents.all[0].event, "one-shot-unknown");
  EXPECT_EQ(incidents.all[0].code, ResultCode::OutcomeUnknown);
  EXPECT_EQ(incidents.all[0].fields.back().value, "k1");
  const auto metrics = send("GET", "/metrics");
  const std::string line =
      "requests_total{kind=\"one-shot\",outcome=\"unknown\",code=\"4001\"} 1\n";
  EXPECT_NE(metrics->response->body.find(line), std::string::npos) << metrics->response->body;
}

TEST_F(CallerServiceTest, ServesThePageAndRejectsOtherMethodsOnIt) {
  const auto page = send("GET", "/");
  EXPECT_EQ(page->response->header("Content-Type"), "text/html; charset=utf-8");
  EXPECT_NE(page->response->body.find("fetch(\"/v1/routing\""), std::string::npos);
  EXPECT_TRUE(page->response->body.ends_with("</html>\n"));
  // The page fetches nothing from other hosts.
  EXPECT_EQ(page->response->body.find("http"), std::string::npos);
  EXPECT_EQ(send("POST", "/")->code(), 1007);
}

TEST_F(CallerServiceTest, DisconnectedCallerCancelsTheStream) {
  const auto writer = send("POST", "/v1/chat/completions", chat + "\"stream\":true}");
  writer->disconnected();
  settle();
  EXPECT_TRUE(workers.sent[0].call->cancelled);
  EXPECT_EQ(streams.active(), 0U);
}

TEST_F(CallerServiceTest, RejectsInvalidAndUnauthenticatedRequests) {
  const auto code = [this](const std::string& target, const std::string& body,
                           const std::string& secret = "secret") {
    return send("POST", target, body, secret)->code();
  };
  const std::string completions = "/v1/chat/completions";
  EXPECT_EQ(code(completions, "{"), 1001);
  EXPECT_EQ(code(completions, chat + "\"colour\":1}"), 1002);
  EXPECT_EQ(code(completions, R"({"model":"large"})"), 1003);
  EXPECT_EQ(code(completions, chat + "\"stream\":1}"), 1004);
  EXPECT_EQ(code(completions, chat + "\"max_tokens\":100000}"), 1004);
  EXPECT_EQ(code(completions, chat + "\"n\":1}", ""), 2001);
  EXPECT_EQ(code(completions, chat + "\"n\":1}", "other"), 2002);
  EXPECT_EQ(code(completions, R"({"model":"x","messages":[{"role":"u","content":""}]})"), 3005);
  EXPECT_EQ(code("/v1/one-shots", R"({"service":"x","payload":1})"), 3009);
  EXPECT_EQ(code("/v1/one-shots", R"({"service":"orders"})"), 1003);
  EXPECT_EQ(code("/v1/nothing", ""), 1006);
  EXPECT_EQ(send("GET", completions)->code(), 1007);
  EXPECT_TRUE(workers.sent.empty());
}

TEST_F(CallerServiceTest, RevokedKeyIsRejectedOnTheNextRequest) {
  fleet_view.view.keys.clear();
  EXPECT_EQ(send("POST", "/v1/one-shots", order)->code(), 2002);
}

TEST_F(CallerServiceTest, RejectsWorkWhileTheSessionIsExpiredOrTheFrontStops) {
  EXPECT_EQ(send("GET", "/readyz")->response->status, 200);
  session.now = sessions::SessionState::Expired;
  const auto expired = send("POST", "/v1/chat/completions", chat + "\"stream\":true}");
  EXPECT_EQ(expired->code(), 3006);
  EXPECT_FALSE(expired->response->header("Retry-After").empty());
  EXPECT_NE(expired->response->body.find("\"outcome\":\"not-run\""), std::string::npos);
  // The caller may be resending a one-shot request that ran, so the outcome is unknown.
  const auto one_shot = send("POST", "/v1/one-shots", order);
  EXPECT_NE(one_shot->response->body.find("\"outcome\":\"unknown\""), std::string::npos);
  session.now = sessions::SessionState::Serving;
  service.stop();
  EXPECT_EQ(send("POST", "/v1/chat/completions", chat + "\"stream\":true}")->code(), 3007);
  EXPECT_EQ(send("GET", "/readyz")->response->status, 503);
  EXPECT_EQ(send("GET", "/healthz")->response->status, 200);
  EXPECT_TRUE(workers.sent.empty());
}

TEST_F(CallerServiceTest, RejectsAtOnceWhenTheQueueIsFull) {
  std::vector<std::shared_ptr<FakeWriter>> writers;
  for (std::size_t count = 0; count <= CallerService::QueueBound; ++count) {
    writers.push_back(std::make_shared<FakeWriter>());
    service.enqueue(http::Request{"GET", "/healthz", {}, ""}, writers.back());
  }
  EXPECT_EQ(writers.back()->code(), 3003);
  EXPECT_FALSE(writers.front()->response);
  settle();
  EXPECT_EQ(writers.front()->response->status, 200);
}

TEST_F(CallerServiceTest, ForwardsOperatorsRequestsToACoreThatResponds) {
  simulation::Process core(world);
  const auto core_transport = network.attach({"127.0.0.3", 1}, core);
  transport::PeerCalls core_calls(core, *core_transport);
  core_calls.handle<wire::ControlRequest>([](const base::NodeAddress&,
                                             const wire::ControlRequest& request,
                                             const transport::ReplyFunction& reply) {
    reply(wire::ControlReply{200, request.method + request.target + request.authorization});
  });
  const auto writer = send("GET", "/v1/configuration/history", "", "operator");
  world.runFor(std::chrono::seconds(1));
  ASSERT_TRUE(writer->response);
  EXPECT_EQ(writer->response->body, "GET/v1/configuration/historyBearer operator");
}

TEST_F(CallerServiceTest, ReportsStateToOperatorsOnly) {
  EXPECT_EQ(send("GET", "/v1/beliefs")->code(), 2003);
  EXPECT_EQ(send("GET", "/v1/beliefs", "", "")->code(), 2001);
  EXPECT_EQ(send("GET", "/v1/beliefs", "", "operator")->response->status, 200);
}

TEST(RequestParser, ReportsThePathOfTheError) {
  try {
    parseCompletionBody(
        R"({"model":"m","messages":[{"role":"u","content":""}],"prefix_parts":[{"id":"a"}]})", 100);
    FAIL();
  } catch (const base::Error& error) {
    EXPECT_EQ(error.code(), ResultCode::MissingField);
    EXPECT_EQ(error.path(), "prefix_parts[0].tokens");
  }
}

TEST(WorkerHead, ParsesTheWorkersHeaders) {
  http::Response head;
  head.headers = {{"Request-Id", "q"},     {"Run", "r"},
                  {"Cached-Tokens", "12"}, {"Worker-Load", "running=3,queued=1,slots=8"},
                  {"Versions", "v2"},      {"Worker-State", "draining"},
                  {"Not-Run", "true"}};
  const WorkerHead parsed = parseWorkerHead(head);
  EXPECT_EQ(parsed.request_id, "q");
  EXPECT_EQ(parsed.run, "r");
  EXPECT_EQ(parsed.cached_tokens, 12U);
  ASSERT_TRUE(parsed.load);
  EXPECT_EQ(parsed.load->queued, 1U);
  EXPECT_EQ(parsed.load->slots, 8U);
  EXPECT_TRUE(parsed.draining);
  EXPECT_TRUE(parsed.not_run);
  EXPECT_FALSE(parseWorkerHead(http::Response{}).load);
}

}  // namespace
}  // namespace switchsaddle::front
