#include "switchsaddle/testbed/load/load_runner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::testbed {
namespace {

using std::chrono::seconds;

class ListCallSink : public CallSink {
 public:
  void append(const CallEvent& event) override { events.push_back(event); }
  std::vector<CallEvent> named(const std::string& name) const {
    std::vector<CallEvent> found;
    std::copy_if(events.begin(), events.end(), std::back_inserter(found),
                 [&name](const CallEvent& event) { return event.event == name; });
    return found;
  }
  std::vector<CallEvent> events;
};

/** Answers every exchange by the script, in a callback posted at its start. */
class ScriptedClient : public http::Client {
 public:
  using Script = std::function<void(http::ExchangeObserver&)>;
  ScriptedClient(base::Dispatcher& dispatcher, Script script)
      : dispatcher_(dispatcher), script_(std::move(script)) {}
  std::shared_ptr<http::Exchange> start(const base::NodeAddress& address, http::Request request,
                                        const http::ExchangeOptions&,
                                        std::shared_ptr<http::ExchangeObserver> observer) override {
    addresses.push_back(address);
    requests.push_back(std::move(request));
    dispatcher_.post([this, observer] { script_(*observer); });
    return nullptr;
  }
  void fetch(const base::NodeAddress&, http::Request, const http::ExchangeOptions&,
             std::function<void(const http::Response*, http::ExchangeFailure)>) override {}
  std::vector<base::NodeAddress> addresses;
  std::vector<http::Request> requests;

 private:
  base::Dispatcher& dispatcher_;
  Script script_;
};

class LoadRunnerTest : public testing::Test {
 protected:
  static LoadPlan oneShots(double resend_share) {
    LoadPlan plan;
    LoadTenant tenant;
    tenant.name = "till";
    tenant.key = "secret";
    tenant.one_shots_per_s = 10;
    tenant.one_shot_service = "confirmations";
    plan.tenants = {tenant};
    plan.resend_share = resend_share;
    return plan;
  }
  static LoadTargets twoFronts() { return {{{"127.0.0.1", 1}, {"127.0.0.2", 2}}, {}}; }
  void run(LoadPlan plan, ScriptedClient& client) {
    sink_.events.clear();
    LoadRunner runner(std::move(plan), twoFronts(), 1, seconds(5), {process_, sink_}, client,
                      [this] { ++finished_; });
    runner.start();
    world_.runFor(seconds(20));
    EXPECT_EQ(runner.callsSent(), sink_.named("sent").size());
  }
  simulation::World world_{1};
  simulation::Process process_{world_};
  ListCallSink sink_;
  int finished_ = 0;
};

TEST_F(LoadRunnerTest, SendsAtTheRateAndRecordsEachAnswer) {
  ScriptedClient client(process_, [](http::ExchangeObserver& observer) {
    observer.onResponseHead({});
    observer.onBodyBytes(R"({"outcome":"ran"})", [] {});
    observer.onComplete();
  });
  run(oneShots(0), client);
  const auto answers = sink_.named("answer");
  EXPECT_EQ(answers.size(), sink_.named("sent").size());
  EXPECT_NEAR(static_cast<double>(answers.size()), 50, 25);
  EXPECT_EQ(answers.at(0).outcome, "ran");
  EXPECT_EQ(answers.at(0).end, call_end::Done);
  EXPECT_EQ(client.requests.at(0).header("Authorization"), "Bearer secret");
  EXPECT_EQ(finished_, 1);
}

TEST_F(LoadRunnerTest, ResendsAKeyWithoutAnswerThroughTheOtherFrontAtMostTwice) {
  ScriptedClient client(process_, [](http::ExchangeObserver& observer) {
    observer.onFailure(http::ExchangeFailure::NoResponse, false);
  });
  run(oneShots(0), client);
  std::map<std::string, std::vector<CallEvent>> sends;
  for (const CallEvent& sent : sink_.named("sent")) {
    sends[sent.idempotency_key].push_back(sent);
  }
  for (const auto& [key, calls] : sends) {
    ASSERT_EQ(calls.size(), 3U) << key;
    EXPECT_NE(calls[0].target, calls[1].target);
    EXPECT_NE(calls[0].request_id, calls[1].request_id);
  }
  EXPECT_EQ(finished_, 1);
}

TEST_F(LoadRunnerTest, ResendsTheConfiguredShareOfRefusedKeys) {
  ScriptedClient client(process_, [](http::ExchangeObserver& observer) {
    http::Response refusal;
    refusal.status = 429;
    observer.onResponseHead(refusal);
    observer.onBodyBytes(R"({"outcome":"not-run"})", [] {});
    observer.onComplete();
  });
  LoadPlan plan = oneShots(0);
  plan.resend_refused_share = 0;
  run(plan, client);
  const std::size_t without_resends = client.requests.size();
  plan.resend_refused_share = 1;
  run(plan, client);
  EXPECT_EQ(client.requests.size() - without_resends, 3 * without_resends);
}

TEST_F(LoadRunnerTest, ResendsTheConfiguredShareOfKeysBeforeTheAnswer) {
  ScriptedClient client(process_, [](http::ExchangeObserver& observer) {
    observer.onResponseHead({});
    observer.onComplete();
  });
  run(oneShots(1.0), client);
  std::map<std::string, int> sends;
  for (const CallEvent& sent : sink_.named("sent")) {
    ++sends[sent.idempotency_key];
  }
  EXPECT_TRUE(
      std::all_of(sends.begin(), sends.end(), [](const auto& entry) { return entry.second == 2; }));
  EXPECT_EQ(finished_, 1);
}

class CallExchangeTest : public testing::Test {
 protected:
  CallExchangeTest() {
    sent_.call = 4;
    sent_.kind = "stream";
    exchange_ = std::make_unique<CallExchange>(CallRecorder{process_, sink_}, sent_,
                                               [this](const CallEvent&) { ++ended_; });
  }
  void head(std::uint16_t status = 200) {
    http::Response response;
    response.status = status;
    response.headers = {{"Run", "w1"}};
    exchange_->onResponseHead(response);
  }
  void bytes(const std::string& text) {
    exchange_->onBodyBytes(text, [] {});
  }
  CallEvent answer() {
    EXPECT_EQ(ended_, 1);
    return sink_.named("answer").at(0);
  }
  simulation::World world_{1};
  simulation::Process process_{world_};
  ListCallSink sink_;
  CallEvent sent_;
  int ended_ = 0;
  std::unique_ptr<CallExchange> exchange_;
};

TEST_F(CallExchangeTest, RecordsChunksAndTheEnd) {
  head();
  bytes("id: 0\ndata: {\"run\":\"w1\"}\n\nid: 1\nda");
  bytes("ta: {\"run\":\"w2\"}\n\nid: 2\ndata: [DONE]\n\n");
  exchange_->onComplete();
  const auto chunks = sink_.named("piece");
  ASSERT_EQ(chunks.size(), 2U);
  EXPECT_EQ(chunks[1].index, 1);
  EXPECT_EQ(chunks[1].run, "w2");
  EXPECT_EQ(answer().end, call_end::Done);
}

TEST_F(CallExchangeTest, DistinguishesAnErrorEventFromATruncatedEnd) {
  head();
  bytes("event: error\ndata: {\"code\":5001,\"outcome\":\"unknown\"}\n\n");
  exchange_->onComplete();
  EXPECT_EQ(answer().end, call_end::Error);
  EXPECT_EQ(answer().code, 5001);
}

TEST_F(CallExchangeTest, ABodyWithoutAnEndIsTruncated) {
  head();
  bytes("id: 0\ndata: {\"run\":\"w1\"}\n\n");
  exchange_->onComplete();
  EXPECT_EQ(answer().end, call_end::Truncated);
}

TEST_F(CallExchangeTest, ACutBodyIsRecordedOnce) {
  head();
  exchange_->onFailure(http::ExchangeFailure::BodyTruncated, false);
  exchange_->onFailure(http::ExchangeFailure::BodyTruncated, false);
  EXPECT_EQ(answer().end, call_end::Cut);
}

TEST_F(CallExchangeTest, RecordsCodeAndOutcomeOfARefusal) {
  head(429);
  bytes(R"({"error":{"code":3001},"outcome":"not-run"})");
  exchange_->onComplete();
  EXPECT_EQ(answer().end, call_end::Refused);
  EXPECT_EQ(answer().code, 3001);
  EXPECT_EQ(answer().outcome, "not-run");
  EXPECT_EQ(answer().status, 429);
}

}  // namespace
}  // namespace switchsaddle::testbed
