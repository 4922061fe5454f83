#include "switchsaddle/front/worker_calls/http_forward_port.h"

#include <utility>

#include "worker_calls/http_call.h"

namespace switchsaddle::front {

namespace {

constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(500);
/** A machine that does not acknowledge sent bytes within this time is considered unreachable: even
 * the machine of a busy worker acknowledges them. */
constexpr base::Duration UnacknowledgedTimeout = std::chrono::milliseconds(1'000);
constexpr std::uint16_t FirstFailureStatus = 400;

http::ExchangeOptions optionsOf(const ForwardDispatch& dispatch) {
  http::ExchangeOptions options;
  options.connect_timeout = ConnectTimeout;
  // The run's deadline ends requests that take too long.
  options.response_timeout = {};
  options.idle_timeout = {};
  options.tcp_user_timeout = UnacknowledgedTimeout;
  options.maximum_idle_time = dispatch.maximum_idle_time;
  options.retry_lost_get = false;
  options.accepts_response = [name = dispatch.request_id_header,
                              id = dispatch.request_id](const http::Response& head) {
    const std::string_view echoed = head.header(name);
    // An error response that was sent before the request was read may carry no id.
    return echoed.empty() ? head.status >= FirstFailureStatus : echoed == id;
  };
  return options;
}

}  // namespace

WorkerCallPtr HttpForwardPort::forward(ForwardDispatch dispatch,
                                       std::shared_ptr<ForwardObserver> observer) {
  const http::ExchangeOptions options = optionsOf(dispatch);
  auto call = std::make_shared<HttpCall<http::Response>>(
      dispatcher_, std::move(observer), [](const http::Response& head) { return head; });
  call->setExchange(client_.start(dispatch.worker, std::move(dispatch.message), options, call));
  return call;
}

}  // namespace switchsaddle::front
