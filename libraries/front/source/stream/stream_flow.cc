#include "switchsaddle/front/stream/stream_flow.h"

#include <utility>

#include "stream/stream_run.h"

namespace switchsaddle::front {

StreamFlow::StreamFlow(const StreamEnvironment& environment) : environment_(environment) {}

StreamFlow::~StreamFlow() {
  abandon();
}

std::set<std::shared_ptr<StreamRun>> StreamFlow::abandon() {
  // Destroying a run gives its slot and its stage to a queued one, so all runs end before any is
  // destroyed.
  std::set<std::shared_ptr<StreamRun>> runs = std::exchange(runs_, {});
  for (const std::shared_ptr<StreamRun>& run : runs) {
    run->abandon();
  }
  return runs;
}

std::shared_ptr<StreamHandle> StreamFlow::run(StreamRequest request,
                                              std::shared_ptr<StreamSink> sink) {
  auto run = std::make_shared<StreamRun>(*this, std::move(request), std::move(sink));
  runs_.insert(run);
  run->start();
  return run;
}

}  // namespace switchsaddle::front
