#pragma once

#include <memory>
#include <utility>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/worker_calls/forward_port.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::front {

/** Forwards requests over an HTTP client. Posts the client's callbacks, which may come from any
 * thread, to the control strand in order. */
class HttpForwardPort : public ForwardPort {
 public:
  /** @param response_memory what the responses are counted in; null to count nothing. */
  HttpForwardPort(base::Dispatcher& dispatcher, http::Client& client,
                  std::shared_ptr<base::ByteBudget> response_memory = nullptr)
      : dispatcher_(dispatcher), client_(client), response_memory_(std::move(response_memory)) {}
  WorkerCallPtr forward(ForwardDispatch dispatch,
                        std::shared_ptr<ForwardObserver> observer) override;

 private:
  base::Dispatcher& dispatcher_;
  http::Client& client_;
  std::shared_ptr<base::ByteBudget> response_memory_;
};

}  // namespace switchsaddle::front
