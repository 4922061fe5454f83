#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/scenarios/configuration_scenario.h"

namespace switchsaddle::scenarios {

/** The options of the configuration scenario for one seed. The seed also sets the network's delay,
 * loss and duplication, from fast and lossless to slow and lossy. */
ConfigurationScenarioOptions optionsForSeed(std::uint64_t seed);

/** Names of the mechanisms that disableMechanism() accepts. */
std::vector<std::string> mechanisms();

/** Switches one mechanism off; throws base::Error with InvalidValue if the name is unknown. */
void disableMechanism(const std::string& mechanism, ConfigurationScenarioOptions& options);

}  // namespace switchsaddle::scenarios
