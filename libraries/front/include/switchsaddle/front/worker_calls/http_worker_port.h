#pragma once

#include <memory>
#include <string>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::front {

/** Parses the header of a worker's response; malformed fields count as absent. */
WorkerHead parseWorkerHead(const http::Response& head);

/**
 * Sends requests to workers by the protocol of docs/WORKERS.md over an HTTP client. Posts the
 * client's callbacks, which may come from any thread, to the control strand in order.
 */
class HttpWorkerPort : public WorkerPort {
 public:
  /**
   * @param local_ip the local address to connect from; empty for any.
   * @param response_memory what the responses are counted in; null to count nothing.
   */
  HttpWorkerPort(base::Dispatcher& dispatcher, http::Client& client, std::string local_ip = {},
                 std::shared_ptr<base::ByteBudget> response_memory = nullptr);
  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override;

 private:
  base::Dispatcher& dispatcher_;
  http::Client& client_;
  std::string local_ip_;
  std::shared_ptr<base::ByteBudget> response_memory_;
};

}  // namespace switchsaddle::front
