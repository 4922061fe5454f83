#include "switchsaddle/front/http_forward_port.h"

#include <utility>

#include "http_call.h"

namespace switchsaddle::front {

namespace {

constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(500);
/** Bytes that a worker's machine leaves unacknowledged for so long were sent to a dead one; a busy
 * worker's machine acknowledges them all the same. */
constexpr base::Duration UnacknowledgedLimit = std::chrono::milliseconds(1'000);
constexpr std::uint16_t FirstFailureStatus = 400;

http::ExchangeOptions optionsOf(const ForwardDispatch& dispatch) {
  http::ExchangeOptions options;
  options.connect_timeout = ConnectTimeout;
  // The run's own time limit ends what takes too long.
  options.response_timeout = {};
  options.idle_timeout = {};
  options.unacknowledged_limit = UnacknowledgedLimit;
  options.reuse_within = dispatch.reuse_within;
  options.resend_lost_get = false;
  options.is_answer = [name = dispatch.request_id_header,
                       id = dispatch.request_id](const http::Response& head) {
    const std::string_view echoed = head.header(name);
    // Refusals made before the request was read may name none.
    return echoed.empty() ? head.status >= FirstFailureStatus : echoed == id;
  };
  return options;
}

}  // namespace

WorkerCallPtr HttpForwardPort::forward(ForwardDispatch dispatch,
                                       std::shared_ptr<ForwardObserver> observer) {
  const http::ExchangeOptions options = optionsOf(dispatch);
  auto call = std::make_shared<HttpCall<ForwardObserver>>(
      dispatcher_, std::move(observer),
      [](ForwardObserver& told, const http::Response& head) { told.onHead(head); });
  call->setExchange(client_.start(dispatch.worker, std::move(dispatch.message), options, call));
  return call;
}

}  // namespace switchsaddle::front
