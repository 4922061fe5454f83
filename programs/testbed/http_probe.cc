#include "http_probe.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "switchsaddle/http/client.h"

namespace switchsaddle::testbed_commands {

std::optional<http::Response> fetchOnce(const base::NodeAddress& address, http::Request request,
                                        base::Duration limit) {
  boost::asio::io_context context{1};
  const auto client = http::createClient(context);
  http::ExchangeOptions options;
  options.connect_timeout = limit;
  options.response_timeout = limit;
  options.idle_timeout = limit;
  options.fresh_connection = true;
  std::optional<http::Response> result;
  bool done = false;
  client->fetch(address, std::move(request), options,
                [&result, &done](const http::Response* response, http::ExchangeFailure) {
                  if (response != nullptr) {
                    result = *response;
                  }
                  done = true;
                });
  while (!done && context.run_one() > 0) {
  }
  return result;
}

bool answersOk(const base::NodeAddress& address, const char* target) {
  http::Request request;
  request.method = "GET";
  request.target = target;
  const auto response = fetchOnce(address, std::move(request), std::chrono::seconds(1));
  return response.has_value() && response->status == 200;
}

}  // namespace switchsaddle::testbed_commands
