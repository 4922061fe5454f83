#include "simulated_callers.h"

#include <utility>

namespace switchsaddle::scenarios {

namespace {

constexpr const char* KeyPrefix = "under key ";
constexpr char KeyEnd = ';';
/** Share of slots that are granted with a delay, and the longest delay. */
constexpr double SlowSlotShare = 0.1;
constexpr std::uint64_t LongestSlotWaitMilliseconds = 1'500;

class FakeWorkerCall : public front::WorkerCall {
 public:
  void cancel() override { cancelled = true; }
  bool cancelled = false;
};

class FakeSlotPermit : public admission::SlotPermit {};

}  // namespace

front::WorkerCallPtr ImmediateWorkers::send(const front::WorkerRequest& request,
                                            std::shared_ptr<front::WorkerObserver> observer) {
  listener_(request);
  auto call = std::make_shared<FakeWorkerCall>();
  process_.post([request_id = request.request_id, observer = std::move(observer), call] {
    front::WorkerHead head;
    head.status = 200;
    head.request_id = request_id;
    head.run = "run";
    observer->onHead(head);
    observer->onBytes("id: 0\ndata: {\"text\":\"a\"}\n\nid: 1\ndata: [DONE]\n\n", [] {});
    if (!call->cancelled) {
      observer->onComplete();
    }
  });
  return call;
}

void DelayedSlots::acquire(const std::string& /*branch*/,
                           std::function<void(admission::SlotOutcome)> callback) {
  const auto grant = [callback = std::move(callback)] {
    admission::SlotOutcome outcome;
    outcome.code = base::ResultCode::Ok;
    outcome.permit = std::make_unique<FakeSlotPermit>();
    callback(std::move(outcome));
  };
  if (!random_.chance(SlowSlotShare)) {
    grant();
    return;
  }
  process_.postAfter(std::chrono::milliseconds(random_.below(LongestSlotWaitMilliseconds)), grant);
}

http::Request streamRequest(const std::string& key) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.push_back({"Authorization", "Bearer " + key});
  request.body = R"({"model":"large","stream":true,"messages":[{"role":"user","content":")" +
                 std::string(KeyPrefix) + key + KeyEnd + R"("}]})";
  return request;
}

std::string keyNamedIn(const std::string& body) {
  const std::size_t mark = body.find(KeyPrefix);
  if (mark == std::string::npos) {
    return {};
  }
  const std::size_t begin = mark + std::string(KeyPrefix).size();
  return body.substr(begin, body.find(KeyEnd, begin) - begin);
}

}  // namespace switchsaddle::scenarios
