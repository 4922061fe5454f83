#pragma once

#include "switchsaddle/core/node/core_node.h"
#include "switchsaddle/metrics/page.h"

namespace switchsaddle::core {

/** Adds the counters and gauges of a core node to a page. Runs on the control strand. */
void appendMetrics(const CoreNode& node, metrics::Page& page);

}  // namespace switchsaddle::core
