#include "switchsaddle/front/one_shot/one_shot_flow.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "one_shot/one_shot_run.h"

namespace switchsaddle::front {

std::string_view outcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

OneShotFlow::OneShotFlow(const OneShotEnvironment& environment) : environment_(environment) {}

OneShotFlow::~OneShotFlow() {
  abandon();
}

std::set<std::shared_ptr<OneShotRun>> OneShotFlow::abandon() {
  callbacks_.emplace();
  // Destroying a run gives its slot to a queued one, so all runs end before any is destroyed.
  std::set<std::shared_ptr<OneShotRun>> runs = std::exchange(runs_, {});
  for (const std::shared_ptr<OneShotRun>& run : runs) {
    run->abandon();
  }
  return runs;
}

void OneShotFlow::run(OneShotRequest request, OneShotCallback callback) {
  const auto run = std::make_shared<OneShotRun>(*this, std::move(request), std::move(callback));
  runs_.insert(run);
  run->start();
}

const workers::Worker* OneShotFlow::chooseWorker(const workers::WorkerSnapshot& snapshot,
                                                 const OneShotRequest& request,
                                                 const std::vector<std::string>& excluded) const {
  const std::shared_ptr<const configuration::View> view = environment_.fleet_view.configuration();
  const configuration::Route* route = nullptr;
  for (const auto& [name, candidate] : view->routes) {
    route = candidate.service == request.service ? &candidate : route;
  }
  const workers::Worker* best = nullptr;
  std::uint32_t best_in_flight = 0;
  std::uint64_t ties = 0;
  for (const auto& [id, worker] : snapshot.workers) {
    const bool eligible = route != nullptr && worker.entry.service == route->pool &&
                          worker.usable() && view->allowsWorker(worker.entry) &&
                          std::ranges::find(excluded, id) == excluded.end() &&
                          environment_.circuit.mayAttempt(worker);
    if (!eligible) {
      continue;
    }
    const auto found = in_flight_.find(id);
    const std::uint32_t in_flight = found == in_flight_.end() ? 0 : found->second;
    const bool better = best == nullptr || in_flight < best_in_flight;
    const bool tie = !better && in_flight == best_in_flight;
    ties = better ? 1 : ties + (tie ? 1 : 0);
    // Reservoir sampling: equally loaded workers are chosen with the same probability.
    if (better || (tie && environment_.random.below(ties) == 0)) {
      best = &worker;
      best_in_flight = in_flight;
    }
  }
  return best;
}

std::string OneShotFlow::newRunName() {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(environment_.random.next()),
                static_cast<unsigned long long>(environment_.random.next()));
  return text.data();
}

void OneShotFlow::record(const wire::ClaimFinish& finish, claims::ClaimCallback callback,
                         int retries_left) {
  auto retry =
      callbacks_->guard([this, finish, retries_left] { record(finish, {}, retries_left - 1); });
  environment_.claims.finish(
      finish, callbacks_->guard([retry = std::move(retry), callback = std::move(callback),
                                 retries_left](const wire::ClaimReply& reply) mutable {
        if (callback) {
          callback(reply);
        }
        // The callback may have ended the flow, in which case the guarded retry does nothing.
        if (!reply.available && retries_left > 0) {
          retry();
        }
      }));
}

}  // namespace switchsaddle::front
