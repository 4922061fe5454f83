#include "server_metrics.h"

namespace switchsaddle {

namespace {

void appendConnections(metrics::Page& page, const metrics::Labels& labels,
                       const http::Server& server, const http::ServerLimits& limits) {
  const http::ServerCounters counters = server.counters();
  page.gauge("http_connections_open", "Open connections of clients.",
             static_cast<double>(server.openConnections()), labels);
  page.gauge("http_connections_limit", "Connections of clients that may be open.",
             static_cast<double>(limits.connections), labels);
  page.counter("http_connections_refused_total",
               "Connections closed at once, since all others were being answered.",
               static_cast<double>(counters.connections_refused), labels);
  page.counter("http_connections_displaced_total",
               "Waiting connections closed in favour of new ones.",
               static_cast<double>(counters.connections_displaced), labels);
  page.counter("http_connections_failed_total",
               "Connections closed because an exception, such as a lack of memory, ended one of "
               "their callbacks.",
               static_cast<double>(counters.connections_failed), labels);
}

void appendRequests(metrics::Page& page, const std::string& listener,
                    const http::ServerCounters& counters) {
  const auto add = [&](const char* reason, std::uint64_t value) {
    page.counter("http_requests_rejected_total",
                 "Requests rejected, or disconnected, before they were complete.",
                 static_cast<double>(value), {{"listener", listener}, {"reason", reason}});
  };
  add("no-memory", counters.requests_refused);
  add("displaced", counters.requests_displaced);
  add("too-large", counters.requests_too_large);
  add("malformed", counters.requests_malformed);
  add("too-late", counters.requests_timed_out);
}

}  // namespace

void appendServerMetrics(metrics::Page& page, const std::string& listener,
                         const http::Server& server, const http::ServerLimits& limits) {
  const metrics::Labels labels{{"listener", listener}};
  const http::ServerCounters counters = server.counters();
  appendConnections(page, labels, server, limits);
  appendRequests(page, listener, counters);
  page.counter("http_responses_unread_total", "Clients disconnected for not reading a response.",
               static_cast<double>(counters.responses_timed_out), labels);
  if (limits.memory) {
    page.gauge("http_memory_bytes", "Memory counted for requests and responses.",
               static_cast<double>(limits.memory->used()), labels);
    page.gauge("http_memory_limit_bytes", "Memory that requests and responses may use.",
               static_cast<double>(limits.memory->limit()), labels);
  }
}

void appendResponseMetrics(metrics::Page& page, const base::ByteBudget& responses) {
  page.gauge("worker_response_memory_bytes",
             "Memory counted for responses of workers, on their way to callers.",
             static_cast<double>(responses.used()));
  page.gauge("worker_response_memory_limit_bytes", "Memory that these responses may use.",
             static_cast<double>(responses.limit()));
}

}  // namespace switchsaddle
