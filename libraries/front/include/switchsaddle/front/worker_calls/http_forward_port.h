#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/worker_calls/forward_port.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::front {

/** Forwards requests over an HTTP client. Posts the client's callbacks, which may come from any
 * thread, to the control strand in order. */
class HttpForwardPort : public ForwardPort {
 public:
  HttpForwardPort(base::Dispatcher& dispatcher, http::Client& client)
      : dispatcher_(dispatcher), client_(client) {}
  WorkerCallPtr forward(ForwardDispatch dispatch,
                        std::shared_ptr<ForwardObserver> observer) override;

 private:
  base::Dispatcher& dispatcher_;
  http::Client& client_;
};

}  // namespace switchsaddle::front
