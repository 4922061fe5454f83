#pragma once

#include <string>

#include "switchsaddle/http/server.h"
#include "switchsaddle/metrics/page.h"

namespace switchsaddle {

/**
 * Adds what a server holds, has rejected and has closed.
 * @param listener value of the label "listener".
 * @param limits those that the server was started with.
 */
void appendServerMetrics(metrics::Page& page, const std::string& listener,
                         const http::Server& server, const http::ServerLimits& limits);

/** Adds what is held of workers' responses. */
void appendResponseMetrics(metrics::Page& page, const base::ByteBudget& responses);

}  // namespace switchsaddle
