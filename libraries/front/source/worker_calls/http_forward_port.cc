#include "switchsaddle/front/worker_calls/http_forward_port.h"

#include <utility>

#include "worker_calls/http_call.h"
#include "worker_calls/refusal.h"
#include "worker_calls/response_matcher.h"

namespace switchsaddle::front {

namespace {

constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(500);
/** A machine that does not acknowledge sent bytes within this time is considered unreachable: even
 * the machine of a busy worker acknowledges them. */
constexpr base::Duration UnacknowledgedTimeout = std::chrono::milliseconds(1'000);

http::ExchangeOptions optionsOf(const ForwardDispatch& dispatch) {
  http::ExchangeOptions options;
  options.connect_timeout = ConnectTimeout;
  // The run's deadline ends requests that take too long.
  options.response_timeout = {};
  options.idle_timeout = {};
  options.unacknowledged_limit = UnacknowledgedTimeout;
  options.maximum_idle_time = dispatch.maximum_idle_time;
  options.retry_lost_get = false;
  // Without an id no response can be told from a surplus one of an earlier request.
  options.fresh_connection = dispatch.own_connection || dispatch.request_id.empty();
  options.accepts_response =
      responseMatcher(dispatch.worker, dispatch.request_id_header, dispatch.request_id);
  options.is_refusal = [not_run_header = dispatch.not_run_header](const http::Response& head) {
    return isRefusal(head, not_run_header);
  };
  return options;
}

}  // namespace

WorkerCallPtr HttpForwardPort::forward(ForwardDispatch dispatch,
                                       std::shared_ptr<ForwardObserver> observer) {
  http::ExchangeOptions options = optionsOf(dispatch);
  options.response_memory = response_memory_;
  auto call = std::make_shared<HttpCall<http::Response>>(
      dispatcher_, std::move(observer), [](const http::Response& head) { return head; });
  call->setExchange(client_.start(dispatch.worker, std::move(dispatch.message), options, call));
  return call;
}

}  // namespace switchsaddle::front
