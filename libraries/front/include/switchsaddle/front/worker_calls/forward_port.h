#pragma once

#include <memory>
#include <string>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::front {

/** One attempt of a forwarded request at one worker. */
struct ForwardDispatch {
  base::NodeAddress worker;
  /** The message as it is sent to the worker. */
  http::Request message;
  /** The response header that must echo `request_id`; a response with another id is discarded. */
  std::string request_id_header;
  std::string request_id;
  /** The response header by which a worker says that it has not run the request. */
  std::string not_run_header;
  /** Whether no other request may use the connection, before or after. */
  bool own_connection = false;
  /** Idle connections older than this are not reused. */
  base::Duration maximum_idle_time = std::chrono::seconds(30);
};

/** Receives the response of one dispatch; the header is passed on with an empty body. */
using ForwardObserver = ResponseObserver<http::Response>;

/** Sends forwarded requests to workers. Never retries by itself. */
class ForwardPort {
 public:
  virtual ~ForwardPort() = default;
  /**
   * Sends the dispatch. The observer is not called before this has returned.
   * @return the call, to be kept for cancelling; it continues even if it is dropped.
   */
  virtual WorkerCallPtr forward(ForwardDispatch dispatch,
                                std::shared_ptr<ForwardObserver> observer) = 0;
};

}  // namespace switchsaddle::front
