#pragma once

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/journal/state_view.h"

namespace switchsaddle::dissemination {

/**
 * Builds the report of GET /v1/beliefs: the latest journal entry of a node for each subject
 * and key, with its age in milliseconds.
 */
configuration::StateReport reportState(const base::NodeAddress& node,
                                       const journal::StateView& entries, base::TimePoint now);

}  // namespace switchsaddle::dissemination
