#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/forward_port.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::front {

/** Forwards over an HTTP client. Its callbacks are posted to the control strand in order. */
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
