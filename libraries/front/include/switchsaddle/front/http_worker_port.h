#pragma once

#include <memory>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/worker_port.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::front {

/** Reads the headers of a worker's answer; what is malformed counts as absent. */
WorkerHead parseWorkerHead(const http::Response& head);

/**
 * Speaks docs/WORKERS.md over an HTTP client. Callbacks of the client, from whatever thread, are
 * posted to the control strand in order.
 */
class HttpWorkerPort : public WorkerPort {
 public:
  /** `local_ip`: the address to connect from; empty for any. */
  HttpWorkerPort(base::Dispatcher& dispatcher, http::Client& client, std::string local_ip = {});
  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override;

 private:
  base::Dispatcher& dispatcher_;
  http::Client& client_;
  std::string local_ip_;
};

}  // namespace switchsaddle::front
