#include "http_platform_source.h"

#include <utility>

#include "switchsaddle/workers/list_bounds.h"
#include "switchsaddle/workers/platform_list.h"

namespace switchsaddle {

namespace {

constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr base::Duration ResponseTimeout = std::chrono::seconds(2);

constexpr std::uint16_t StatusOk = 200;

/** @param response nullptr if none was received. */
workers::PlatformReading readingOf(const http::Response* response) {
  workers::PlatformReading reading;
  if (response == nullptr) {
    reading.fault = "expected a response of the platform to GET /v1/workers, got none";
    return reading;
  }
  if (response->status != StatusOk) {
    reading.code = base::ResultCode::InvalidValue;
    reading.fault = "expected status 200 of the platform for GET /v1/workers, got " +
                    std::to_string(response->status);
    return reading;
  }
  return workers::parsePlatformList(response->body);
}

}  // namespace

HttpPlatformSource::HttpPlatformSource(base::Dispatcher& dispatcher, http::Client& client,
                                       base::NodeAddress platform)
    : dispatcher_(dispatcher), client_(client), platform_(std::move(platform)) {}

void HttpPlatformSource::read(std::function<void(workers::PlatformReading)> callback) {
  http::Request request;
  request.method = "GET";
  request.target = "/v1/workers";
  http::ExchangeOptions options;
  options.connect_timeout = ConnectTimeout;
  options.response_timeout = ResponseTimeout;
  options.total_timeout = workers::ListPageTimeout;
  options.fetch_limit_bytes = workers::MaximumListPageBytes;
  client_.fetch(
      platform_, std::move(request), options,
      [this, callback = std::move(callback)](const http::Response* response,
                                             http::ExchangeFailure /*failure*/) {
        dispatcher_.post([callback, reading = readingOf(response)] { callback(reading); });
      });
}

}  // namespace switchsaddle
