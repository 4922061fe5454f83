#include "ctl_transport.h"

#include <boost/asio/io_context.hpp>
#include <thread>

#include "switchsaddle/http/client.h"

namespace switchsaddle {

namespace {

/** Longer than a node waits for the acknowledgement of a change. */
constexpr base::Duration ResponseTimeout = std::chrono::seconds(4);
constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(700);
constexpr auto RetryDelay = std::chrono::milliseconds(300);

/** Runs one exchange at a time, each on its own io_context. */
class HttpControlTransport : public operator_client::ControlTransport {
 public:
  std::optional<http::Response> exchange(const base::NodeAddress& address,
                                         const http::Request& request) override {
    boost::asio::io_context context;
    const std::unique_ptr<http::Client> client = http::createClient(context);
    http::ExchangeOptions options;
    options.connect_timeout = ConnectTimeout;
    options.response_timeout = ResponseTimeout;
    options.idle_timeout = ResponseTimeout;
    options.fresh_connection = true;
    std::optional<http::Response> result;
    client->fetch(address, request, options,
                  [&](const http::Response* response, http::ExchangeFailure) {
                    if (response != nullptr) {
                      result = *response;
                    }
                    context.stop();
                  });
    context.run();
    return result;
  }

  void pause() override { std::this_thread::sleep_for(RetryDelay); }
};

}  // namespace

std::unique_ptr<operator_client::ControlTransport> createControlTransport() {
  return std::make_unique<HttpControlTransport>();
}

}  // namespace switchsaddle
