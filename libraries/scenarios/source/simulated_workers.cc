#include "switchsaddle/scenarios/simulated_workers.h"

#include <utility>

namespace switchsaddle::scenarios {

namespace {

constexpr base::Duration ShortestDelay = std::chrono::microseconds(200);
constexpr std::uint64_t LongestExtraDelayUs = 1'000;
constexpr const char* CompleteStream = "id: 0\ndata: {\"text\":\"a\"}\n\nid: 1\ndata: [DONE]\n\n";

}  // namespace

/** One attempt at a worker. */
struct SimulatedWorkers::Run : front::WorkerCall {
  Run(SimulatedWorkers& owner, simulation::Process& front_process, front::WorkerRequest sent,
      std::shared_ptr<front::WorkerObserver> to)
      : workers(owner), process(front_process), request(std::move(sent)), observer(std::move(to)) {}

  bool isStream() const { return request.idempotency_key.empty(); }
  void cancel() override {
    closed = true;
    if (running && isStream()) {
      workers.end(*this);
    }
  }
  /** Notifies the front, unless it has closed the connection or was killed. */
  void notify(const std::shared_ptr<Run>& self,
              std::function<void(front::WorkerObserver&)> action) {
    process.post([self, action = std::move(action)] {
      if (!self->closed) {
        action(*self->observer);
      }
    });
  }

  SimulatedWorkers& workers;
  simulation::Process& process;
  front::WorkerRequest request;
  std::shared_ptr<front::WorkerObserver> observer;
  bool running = false;
  bool closed = false;
};

/** A port through which one process sends requests to the workers. */
class SimulatedWorkers::Port : public front::WorkerPort {
 public:
  Port(SimulatedWorkers& workers, simulation::Process& process)
      : workers_(workers), process_(process) {}

  front::WorkerCallPtr send(const front::WorkerRequest& request,
                            std::shared_ptr<front::WorkerObserver> observer) override {
    auto run = std::make_shared<Run>(workers_, process_, request, std::move(observer));
    const base::Duration delay =
        ShortestDelay +
        std::chrono::microseconds(workers_.world_.random().below(LongestExtraDelayUs));
    workers_.world_.schedule(delay, [&workers = workers_, run] { workers.arrive(run); });
    return run;
  }

 private:
  SimulatedWorkers& workers_;
  simulation::Process& process_;
};

std::unique_ptr<front::WorkerPort> SimulatedWorkers::connect(simulation::Process& process) {
  return std::make_unique<Port>(*this, process);
}

void SimulatedWorkers::arrive(const std::shared_ptr<Run>& run) {
  if (run->closed && run->isStream()) {
    return;
  }
  listener_.onAttempt(run->request);
  if (conditions.closed.contains(run->request.address)) {
    run->notify(run, [](front::WorkerObserver& observer) {
      observer.onFailure(front::WorkerFailure::NotSent, true);
    });
    return;
  }
  if (world_.random().chance(conditions.refusal)) {
    run->notify(run, [run](front::WorkerObserver& observer) {
      front::WorkerHead head;
      head.status = 503;
      head.request_id = run->request.request_id;
      observer.onHead(head);
    });
    return;
  }
  run->running = true;
  listener_.onStart(run->request);
  const auto spread =
      static_cast<std::uint64_t>((conditions.longest_run - conditions.shortest_run).count());
  const base::Duration time =
      conditions.shortest_run +
      base::Duration(static_cast<std::int64_t>(world_.random().below(spread + 1)));
  world_.schedule(time, [this, run] { finish(run); });
}

void SimulatedWorkers::finish(const std::shared_ptr<Run>& run) {
  if (!run->running) {
    return;
  }
  end(*run);
  run->notify(run, [run](front::WorkerObserver& observer) {
    front::WorkerHead head;
    head.status = 200;
    head.request_id = run->request.request_id;
    head.run = "run-" + run->request.request_id;
    observer.onHead(head);
    observer.onBytes(run->isStream() ? CompleteStream : "1", [] {});
    if (!run->closed) {
      observer.onComplete();
    }
  });
}

void SimulatedWorkers::end(Run& run) {
  run.running = false;
  listener_.onEnd(run.request);
}

}  // namespace switchsaddle::scenarios
