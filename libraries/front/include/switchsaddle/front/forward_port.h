#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/front/worker_port.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::front {

/** One forwarded request on its way to one worker. */
struct ForwardDispatch {
  base::NodeAddress worker;
  /** As the worker is to get it. */
  http::Request message;
  /** The answer's header that must repeat `request_id`; another answer belongs to nobody. */
  std::string request_id_header;
  std::string request_id;
  /** A connection that has lain idle for longer is not used. */
  base::Duration reuse_within = std::chrono::seconds(30);
};

/** Hears of one dispatch's end, on the control strand. Nothing follows onComplete or onFailure. */
class ForwardObserver {
 public:
  virtual ~ForwardObserver() = default;
  /** The status and headers; the body is empty. */
  virtual void onHead(const http::Response& head) = 0;
  /** Reading goes on only once `resume` has been called. */
  virtual void onBytes(const std::string& bytes, std::function<void()> resume) = 0;
  /** The whole body has come. */
  virtual void onComplete() = 0;
  /** `refused`: nothing listens at the worker's address. */
  virtual void onFailure(WorkerFailure failure, bool refused) = 0;
};

/** Sends forwarded requests to workers. Never sends one twice by itself. */
class ForwardPort {
 public:
  virtual ~ForwardPort() = default;
  /** Never calls the observer before it has returned. */
  virtual WorkerCallPtr forward(ForwardDispatch dispatch,
                                std::shared_ptr<ForwardObserver> observer) = 0;
};

}  // namespace switchsaddle::front
