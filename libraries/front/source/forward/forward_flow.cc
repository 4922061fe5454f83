#include "switchsaddle/front/forward/forward_flow.h"

#include <algorithm>
#include <utility>

#include "forward/forward_run.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::front {

ForwardFlow::ForwardFlow(ForwardEnvironment environment)
    : environment_(std::move(environment)),
      losses_(environment_.dispatcher, environment_.incidents == nullptr
                                           ? base::ignoredIncidents()
                                           : *environment_.incidents) {}

ForwardFlow::~ForwardFlow() {
  abandon();
}

void ForwardFlow::run(ForwardRequest request, http::ResponseWriterPtr writer) {
  if (runs_.size() >= MaximumRuns) {
    throw base::Error(base::ResultCode::QueueFull, "");
  }
  auto run = std::make_shared<ForwardRun>(*this, std::move(request), std::move(writer));
  runs_.insert(run);
  run->start();
}

void ForwardFlow::setFronts(std::size_t fronts) {
  fronts_ = std::max<std::size_t>(1, fronts);
}

void ForwardFlow::answerAll() {
  const std::set<std::shared_ptr<ForwardRun>> runs = runs_;
  for (const std::shared_ptr<ForwardRun>& run : runs) {
    run->answerEarly();
  }
}

void ForwardFlow::migrateFromMaintenance(const configuration::View& view) {
  // Iterates over a copy, since a run that ends removes itself from the set.
  const std::set<std::shared_ptr<ForwardRun>> runs = runs_;
  for (const std::shared_ptr<ForwardRun>& run : runs) {
    run->migrateFromMaintenance(view);
  }
}

void ForwardFlow::abandon() {
  const std::set<std::shared_ptr<ForwardRun>> runs = std::exchange(runs_, {});
  for (const std::shared_ptr<ForwardRun>& run : runs) {
    run->abandon();
  }
}

}  // namespace switchsaddle::front
