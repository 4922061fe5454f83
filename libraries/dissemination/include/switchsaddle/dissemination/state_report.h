#pragma once

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/journal/state_view.h"

namespace switchsaddle::dissemination {

/**
 * Builds the report of GET /v1/beliefs: the latest journal entry of each subject and key of a node,
 * with its age.
 */
configuration::StateReport reportState(const base::NodeAddress& node,
                                       const journal::StateView& entries, base::TimePoint now);

}  // namespace switchsaddle::dissemination
