#pragma once

#include <map>
#include <memory>
#include <string>

#include "fakes.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {

/** Number of runs at all workers, by the idempotency key of the one-shot request. */
using RunCounts = std::map<std::string, int>;

/** Workers that at random refuse connections, or run requests and lose, mix up, delay or duplicate
 * the responses. Counts the runs by key. */
class FaultyWorkers : public WorkerPort {
 public:
  FaultyWorkers(simulation::World& world, simulation::Process& worker, simulation::Process& front,
                RunCounts& run_counts)
      : runs(run_counts), world_(world), worker_(worker), front_(front) {}

  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override {
    auto call = std::make_shared<FakeWorkers::Call>();
    const auto deliver = [this, call, observer](base::Duration delay, auto action) {
      front_.postAfter(delay, [call, observer, action] {
        if (!call->cancelled) {
          action(*observer);
        }
      });
    };
    const std::uint64_t outcome = world_.random().below(10);
    const base::Duration delay = std::chrono::milliseconds(world_.random().below(400));
    if (outcome < 3) {
      deliver(delay, [](WorkerObserver& to) { to.onFailure(WorkerFailure::NotSent, true); });
      return call;
    }
    worker_.postAfter(delay / 2,
                      [&counts = runs, key = request.idempotency_key] { ++counts[key]; });
    if (outcome == 3) {
      deliver(delay, [](WorkerObserver& to) { to.onFailure(WorkerFailure::Lost, false); });
    }
    const base::Duration late = outcome == 4 ? std::chrono::seconds(9) : base::Duration::zero();
    for (int response = 0; outcome > 3 && response < (outcome == 5 ? 2 : 1); ++response) {
      WorkerHead head;
      head.status = 200;
      head.request_id = outcome == 6 ? "another" : request.request_id;
      deliver(delay + late, [head](WorkerObserver& to) { to.onHead(head); });
      deliver(delay + late, [](WorkerObserver& to) { to.onBytes("1", [] {}); });
      deliver(delay + late, [](WorkerObserver& to) { to.onComplete(); });
    }
    return call;
  }

  RunCounts& runs;

 private:
  simulation::World& world_;
  simulation::Process& worker_;
  simulation::Process& front_;
};

}  // namespace switchsaddle::front
