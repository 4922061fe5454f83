#pragma once

#include <functional>
#include <string_view>

#include "switchsaddle/core/node/core_node.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/metrics/page.h"

namespace switchsaddle::core {

/**
 * The HTTP interface of a core node, independent of any HTTP server: liveness, readiness, metrics
 * and the control API. Runs on the control strand.
 */
class CoreHttpService {
 public:
  using Respond = std::function<void(http::Response)>;
  /** Adds the metrics of the process to a page. */
  using ProcessMetrics = std::function<void(metrics::Page&)>;

  CoreHttpService(CoreNode& node, ProcessMetrics process_metrics);

  /** Responds through the callback, once. */
  void handle(const http::Request& request, Respond respond);

 private:
  /** @return the response of a path that needs no authentication. */
  http::Response publicResponse(std::string_view path) const;
  http::Response readiness() const;
  http::Response metricsPage() const;

  CoreNode& node_;
  ProcessMetrics process_metrics_;
};

}  // namespace switchsaddle::core
