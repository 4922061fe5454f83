#include "switchsaddle/front/stream_flow.h"

#include <utility>

#include "stream_run.h"

namespace switchsaddle::front {

StreamFlow::StreamFlow(const StreamEnvironment& environment) : environment_(environment) {}

StreamFlow::~StreamFlow() {
  for (const std::shared_ptr<StreamRun>& run : runs_) {
    run->abandon();
  }
}

std::shared_ptr<StreamHandle> StreamFlow::run(StreamRequest request,
                                              std::shared_ptr<StreamSink> sink) {
  auto run = std::make_shared<StreamRun>(*this, std::move(request), std::move(sink));
  runs_.insert(run);
  run->start();
  return run;
}

}  // namespace switchsaddle::front
