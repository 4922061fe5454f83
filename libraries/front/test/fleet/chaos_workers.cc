#include "fleet/chaos_workers.h"

namespace switchsaddle::front {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration LateDelay = std::chrono::seconds(9);

/** The fault of one request. In names of two kinds the first is for one-shot requests, the second
 * for streams. */
enum class Fault : std::uint8_t {
  Lost,
  Late,
  CrossedOrRepeat,
  DoubledOrGap,
  LostUnrunOrChangedRun,
  CutOrSilentClose,
  StallOrCut,
  None,
};

Fault drawFault(base::RandomSource& random, double each) {
  for (int fault = 0; fault < static_cast<int>(Fault::None); ++fault) {
    if (random.chance(each)) {
      return static_cast<Fault>(fault);
    }
  }
  return Fault::None;
}

std::string chunkEvent(std::uint64_t id, const std::string& run, std::uint64_t text) {
  const std::string number = std::to_string(id);
  return "id: " + number + "\ndata: {\"run\":\"" + run + "\",\"index\":" + number + ",\"text\":\"" +
         std::to_string(text) + "\"}\n\n";
}

std::string doneEvent(std::uint64_t count) {
  return "id: " + std::to_string(count) + "\ndata: [DONE]\n\n";
}

WorkerHead headOf(const std::string& request_id, const std::string& run) {
  WorkerHead head;
  head.status = 200;
  head.request_id = request_id;
  head.run = run;
  return head;
}

}  // namespace

void ChaosWorkers::deliver(const Call& call, const std::shared_ptr<WorkerObserver>& observer,
                           base::Duration delay, std::function<void(WorkerObserver&)> action) {
  front_.postAfter(delay, [call, observer, action = std::move(action)] {
    if (!call->cancelled) {
      action(*observer);
    }
  });
}

WorkerCallPtr ChaosWorkers::send(const WorkerRequest& request,
                                 std::shared_ptr<WorkerObserver> observer) {
  auto call = std::make_shared<FakeWorkers::Call>();
  const bool stream = request.idempotency_key.empty();
  const base::Duration delay = milliseconds(world_.random().below(60));
  history_.attempts.push_back(
      {world_.now(), stream, front_incarnation_(), request.address, request.caller_request_id});
  if (world_.random().chance(rates_.refused)) {
    deliver(call, observer, delay,
            [](WorkerObserver& to) { to.onFailure(WorkerFailure::NotSent, true); });
    return call;
  }
  if (world_.random().chance(rates_.not_run)) {
    WorkerHead head = headOf(request.request_id, "");
    head.status = 503;
    head.not_run = true;
    deliver(call, observer, delay, [head](WorkerObserver& to) { to.onHead(head); });
  } else if (stream) {
    runStream(request, call, observer);
  } else {
    runOneShot(request, call, observer);
  }
  return call;
}

void ChaosWorkers::runOneShot(const WorkerRequest& request, const Call& call,
                              const std::shared_ptr<WorkerObserver>& observer) {
  const Fault fault = drawFault(world_.random(), rates_.each_fault);
  const base::Duration delay = milliseconds(world_.random().below(400));
  if (fault != Fault::LostUnrunOrChangedRun) {
    worker_.postAfter(delay / 2, [this, key = request.idempotency_key] {
      history_.key_runs[key].push_back(world_.now());
    });
  }
  if (fault == Fault::Lost || fault == Fault::LostUnrunOrChangedRun) {
    deliver(call, observer, delay,
            [](WorkerObserver& to) { to.onFailure(WorkerFailure::Lost, false); });
    return;
  }
  if (fault == Fault::StallOrCut) {
    return;
  }
  const base::Duration late = fault == Fault::Late ? LateDelay : base::Duration::zero();
  const bool crossed = fault == Fault::CrossedOrRepeat;
  const WorkerHead head = headOf(crossed ? "another" : request.request_id, "");
  for (int copy = 0; copy < (fault == Fault::DoubledOrGap ? 2 : 1); ++copy) {
    deliver(call, observer, delay + late, [head](WorkerObserver& to) { to.onHead(head); });
    if (fault == Fault::CutOrSilentClose) {
      deliver(call, observer, delay, [](WorkerObserver& to) { to.onComplete(); });
      return;
    }
    deliver(call, observer, delay + late, [](WorkerObserver& to) { to.onBytes("1", [] {}); });
    deliver(call, observer, delay + late, [](WorkerObserver& to) { to.onComplete(); });
  }
}

void ChaosWorkers::runStream(const WorkerRequest& request, const Call& call,
                             const std::shared_ptr<WorkerObserver>& observer) {
  const Fault fault = drawFault(world_.random(), rates_.each_fault);
  const std::string run = "run" + std::to_string(history_.streams.size());
  WorkerRun& record = history_.streams[run];
  ++history_.stream_runs_by_request[request.caller_request_id];
  base::Duration at = milliseconds(world_.random().below(200));
  if (fault == Fault::Lost) {
    deliver(call, observer, at,
            [](WorkerObserver& to) { to.onFailure(WorkerFailure::Lost, false); });
    return;
  }
  at += fault == Fault::Late ? LateDelay : base::Duration::zero();
  const WorkerHead head = headOf(request.request_id, run);
  deliver(call, observer, at, [head](WorkerObserver& to) { to.onHead(head); });
  const std::uint64_t chunks = 1 + world_.random().below(20);
  const std::uint64_t fault_chunk = world_.random().below(chunks);
  std::uint64_t id = 0;
  for (std::uint64_t chunk = 0; chunk < chunks; ++chunk) {
    at += milliseconds(10 + world_.random().below(30));
    const bool is_fault_chunk = chunk == fault_chunk;
    if (is_fault_chunk && (fault == Fault::StallOrCut || fault == Fault::CutOrSilentClose)) {
      const bool closes = fault == Fault::CutOrSilentClose;
      deliver(call, observer, at, [closes](WorkerObserver& to) {
        closes ? to.onComplete() : to.onFailure(WorkerFailure::Lost, false);
      });
      return;
    }
    id += is_fault_chunk && fault == Fault::DoubledOrGap ? 1 : 0;
    std::string events = chunkEvent(id, run, chunk);
    events += is_fault_chunk && fault == Fault::CrossedOrRepeat ? events : "";
    if (is_fault_chunk && fault == Fault::LostUnrunOrChangedRun) {
      events = chunkEvent(id, "other-" + run, chunk);
    }
    if (is_fault_chunk && fault == Fault::DoubledOrGap) {
      // Skips a text as well, so that the gap shows in the text.
      events = chunkEvent(id, run, chunk + 1);
    }
    deliver(call, observer, at, [events](WorkerObserver& to) { to.onBytes(events, [] {}); });
    ++id;
  }
  record.chunks = chunks;
  record.ended = fault == Fault::None || fault == Fault::Late;
  deliver(call, observer, at, [id](WorkerObserver& to) { to.onBytes(doneEvent(id), [] {}); });
  deliver(call, observer, at, [](WorkerObserver& to) { to.onComplete(); });
}

}  // namespace switchsaddle::front
