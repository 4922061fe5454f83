#include "switchsaddle/front/worker_calls/http_forward_port.h"

#include <string>
#include <utility>

#include "switchsaddle/base/log.h"
#include "worker_calls/http_call.h"

namespace switchsaddle::front {

namespace {

constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(500);
/** A machine that does not acknowledge sent bytes within this time is considered unreachable: even
 * the machine of a busy worker acknowledges them. */
constexpr base::Duration UnacknowledgedTimeout = std::chrono::milliseconds(1'000);
constexpr std::uint16_t FirstFailureStatus = 400;

/** Logs a response that does not echo the id of the request it was received for. */
void logUnmatchedResponse(const base::NodeAddress& worker, const std::string& request_id,
                          std::string_view echoed_id, std::uint16_t status, bool accepted) {
  base::logEvent(base::Severity::Info, "unmatched-response",
                 {{"worker", worker.toString()},
                  {"request_id", request_id},
                  {"echoed_id", std::string(echoed_id)},
                  {"status", std::to_string(status)},
                  {"accepted", accepted ? "true" : "false"}});
}

http::ExchangeOptions optionsOf(const ForwardDispatch& dispatch) {
  http::ExchangeOptions options;
  options.connect_timeout = ConnectTimeout;
  // The run's deadline ends requests that take too long.
  options.response_timeout = {};
  options.idle_timeout = {};
  options.tcp_user_timeout = UnacknowledgedTimeout;
  options.maximum_idle_time = dispatch.maximum_idle_time;
  options.retry_lost_get = false;
  options.accepts_response = [address = dispatch.worker, name = dispatch.request_id_header,
                              id = dispatch.request_id](const http::Response& head) {
    const std::string_view echoed = head.header(name);
    // An error response that was sent before the request was read may carry no id.
    const bool accepted = echoed.empty() ? head.status >= FirstFailureStatus : echoed == id;
    if (echoed != id) {
      logUnmatchedResponse(address, id, echoed, head.status, accepted);
    }
    return accepted;
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
