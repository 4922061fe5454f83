#include "workers/one_shot_run.h"

#include <boost/json.hpp>

namespace switchsaddle::testbed {
namespace {

constexpr const char* Kind = "one-shot";

}  // namespace

OneShotRun::OneShotRun(WorkerState& worker, RequestIdentity identity,
                       http::ResponseWriterPtr writer)
    : worker_(worker), identity_(std::move(identity)), writer_(std::move(writer)) {}

void OneShotRun::start() {
  worker_.pending.insert(shared_from_this());
  ticket_ = worker_.slots.acquire(whileAlive(weak_from_this(), &OneShotRun::onSlotAcquired));
  if (ticket_ == SlotQueue::Refused) {
    writer_->respond(worker_.refuseBeforeRun(Kind, identity_, "queue full"));
    worker_.forget(shared_from_this());
  } else if (run_.empty()) {
    worker_.note(worker_event::Queued, Kind, "", identity_, 0, 0);
  }
}

void OneShotRun::onSlotAcquired() {
  run_ = worker_.nextRun();
  worker_.note("start", Kind, run_, identity_, 0, 0);
  service_timer_ = worker_.dispatcher.createTimer([this] { onServiceTimeElapsed(); });
  service_timer_->enable(worker_.options.one_shot_time);
}

void OneShotRun::onServiceTimeElapsed() {
  FaultOrder& fault = worker_.fault;
  if (fault.waits_for_chunk && fault.take(FaultMode::Crash)) {
    worker_.crash();
    return;
  }
  worker_.note("end", Kind, run_, identity_, 0, 0);
  worker_.slots.release();
  if (fault.take(FaultMode::Stall)) {
    return;
  }
  if (fault.take(FaultMode::TruncatingClose) || fault.take(FaultMode::Cut)) {
    writer_->abort();
    worker_.forget(shared_from_this());
    return;
  }
  if (fault.take(FaultMode::Late)) {
    answer_timer_ = worker_.dispatcher.createTimer([this] { answer(); });
    answer_timer_->enable(fault.delay);
    return;
  }
  answer();
}

void OneShotRun::answer() {
  std::string sent_request_id = identity_.request_id;
  if (worker_.fault.take(FaultMode::Crossed)) {
    const bool usable =
        !worker_.last_request_id.empty() && worker_.last_request_id != identity_.request_id;
    sent_request_id = usable ? worker_.last_request_id : "crossed-" + identity_.request_id;
  }
  http::Response response;
  response.headers = worker_.answerHeaders(sent_request_id);
  response.headers.push_back({"Run", run_});
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = boost::json::serialize(
      boost::json::object{{"result", "done " + identity_.idempotency_key}, {"run", run_}});
  writer_->respond(std::move(response));
  worker_.last_request_id = identity_.request_id;
  worker_.forget(shared_from_this());
}

}  // namespace switchsaddle::testbed
