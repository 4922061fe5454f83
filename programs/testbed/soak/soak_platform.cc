#include "soak/soak_platform.h"

namespace switchsaddle::testbed_commands {
namespace {

/** Time for which the list still shows an instance that has ended. */
constexpr base::Duration ListLag = std::chrono::seconds(3);

}  // namespace

SoakPlatform::SoakPlatform(const base::NodeAddress& address, const std::vector<SoakWorker>& workers,
                           const SoakDialect& dialect)
    : workers_(workers),
      dialect_(dialect),
      server_(http::startServer(
          context_, address, {},
          [this](const http::Request& /*request*/, const http::ResponseWriterPtr& writer) {
            writer->respond({200, {{"Content-Type", "application/json"}}, list()});
          })),
      thread_([this] { context_.run(); }) {}

SoakPlatform::~SoakPlatform() {
  context_.stop();
  thread_.join();
}

std::string SoakPlatform::list() const {
  std::vector<ListedInstance> instances;
  for (const SoakWorker& entry : workers_) {
    for (const std::string& id : entry.worker->listedIds(ListLag)) {
      instances.push_back({id, entry.worker->address(), entry.zone});
    }
  }
  return dialect_.workerList(instances);
}

}  // namespace switchsaddle::testbed_commands
