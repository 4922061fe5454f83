#pragma once

#include <functional>

#include "switchsaddle/core/core_node.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/metrics/page.h"

namespace switchsaddle::core {

/**
 * What a core node answers over HTTP: its health, readiness and metrics, and the control API.
 * Without any HTTP server. Runs on the control strand.
 */
class CoreHttpService {
 public:
  using Respond = std::function<void(http::Response)>;
  /** Adds what only the process knows to the metrics. */
  using ProcessMetrics = std::function<void(metrics::Page&)>;

  CoreHttpService(CoreNode& node, ProcessMetrics process_metrics);

  /** Answers through the callback, once. */
  void handle(const http::Request& request, Respond respond);

 private:
  http::Response own(std::string_view path) const;
  http::Response readiness() const;
  http::Response metricsPage() const;

  CoreNode& node_;
  ProcessMetrics process_metrics_;
};

}  // namespace switchsaddle::core
