#include "switchsaddle/core/control/core_http_service.h"

#include <algorithm>
#include <array>
#include <utility>

#include "switchsaddle/core/node/core_metrics.h"
#include "switchsaddle/http/error_response.h"

namespace switchsaddle::core {

namespace {

using base::ResultCode;

/** Paths that need no authentication. */
constexpr std::array<std::string_view, 3> PublicPaths{"/healthz", "/readyz", "/metrics"};

http::Response statusResponse(const char* status) {
  http::Response response;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::string("{\"status\":\"") + status + "\"}";
  return response;
}

}  // namespace

CoreHttpService::CoreHttpService(CoreNode& node, ProcessMetrics process_metrics)
    : node_(node), process_metrics_(std::move(process_metrics)) {}

void CoreHttpService::handle(const http::Request& request, Respond respond) {
  const std::string_view path = http::targetPath(request.target);
  const bool is_public =
      std::find(PublicPaths.begin(), PublicPaths.end(), path) != PublicPaths.end();
  if (is_public) {
    respond(request.method == "GET" ? publicResponse(path)
                                    : http::errorResponse(ResultCode::MethodNotAllowed));
  } else if (ControlService::serves(request.target)) {
    node_.control().handle(request, std::move(respond));
  } else {
    respond(http::errorResponse(ResultCode::UnknownPath));
  }
}

http::Response CoreHttpService::publicResponse(std::string_view path) const {
  if (path == "/healthz") {
    return statusResponse("ok");
  }
  return path == "/readyz" ? readiness() : metricsPage();
}

http::Response CoreHttpService::readiness() const {
  if (node_.status().may_vote) {
    return statusResponse("ready");
  }
  http::Response response =
      http::errorResponse(ResultCode::NotServing, "this node's acceptor may not vote");
  response.headers.push_back({"Retry-After", "1"});
  return response;
}

http::Response CoreHttpService::metricsPage() const {
  metrics::Page page;
  appendMetrics(node_, page);
  if (process_metrics_) {
    process_metrics_(page);
  }
  http::Response response;
  response.headers.push_back({"Content-Type", metrics::ContentType});
  response.body = page.text();
  return response;
}

}  // namespace switchsaddle::core
