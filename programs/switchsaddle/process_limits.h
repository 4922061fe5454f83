#pragma once

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/node_options/node_limits.h"

namespace switchsaddle {

/**
 * @return the bounds that follow from the settings and from the descriptors that the system lets
 *     this process open.
 */
node_options::NodeLimits processLimits(const configuration::Settings& settings,
                                       node_options::NodeRole role);

/** Makes the allocator give large blocks back to the system as soon as they are freed. */
void returnFreedMemory();

}  // namespace switchsaddle
