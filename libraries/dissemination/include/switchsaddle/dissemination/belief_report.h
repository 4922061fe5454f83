#pragma once

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/beliefs.h"
#include "switchsaddle/journal/belief_view.h"

namespace switchsaddle::dissemination {

/** What a node believes by its journal, with ages, as GET /v1/beliefs tells it. */
configuration::BeliefReport reportBeliefs(const base::NodeAddress& node,
                                          const journal::BeliefView& beliefs, base::TimePoint now);

}  // namespace switchsaddle::dissemination
