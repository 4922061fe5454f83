#pragma once

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/node_options/node_limits.h"

namespace switchsaddle {

/**
 * @return the bounds that follow from the settings and from what the system lets this process use:
 *     descriptors, address space and data.
 */
node_options::NodeLimits processLimits(const configuration::Settings& settings,
                                       node_options::NodeRole role);

/** Makes the allocator reserve little and give large blocks back as soon as they are freed. */
void useMemorySparingly();

}  // namespace switchsaddle
