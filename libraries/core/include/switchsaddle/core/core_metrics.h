#pragma once

#include "switchsaddle/core/core_node.h"
#include "switchsaddle/metrics/page.h"

namespace switchsaddle::core {

/** Adds what a core node counts and believes to a page of metrics. Runs on the control strand. */
void appendMetrics(const CoreNode& node, metrics::Page& page);

}  // namespace switchsaddle::core
