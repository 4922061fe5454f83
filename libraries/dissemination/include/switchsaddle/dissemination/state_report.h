#pragma once

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/journal/state_view.h"

namespace switchsaddle::dissemination {

/** What a node believes by its journal, with ages, as GET /v1/beliefs tells it. */
configuration::StateReport reportState(const base::NodeAddress& node,
                                       const journal::StateView& entries, base::TimePoint now);

}  // namespace switchsaddle::dissemination
