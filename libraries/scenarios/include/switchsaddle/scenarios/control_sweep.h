#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/scenarios/configuration_scenario.h"

namespace switchsaddle::scenarios {

/** The options of the configuration scenario under one seed: the seed also sets how the network
 * behaves, from prompt and lossless to slow, lossy and repeating. */
ConfigurationScenarioOptions optionsForSeed(std::uint64_t seed);

/** Names of the mechanisms that disableMechanism() knows. */
std::vector<std::string> mechanisms();

/** Switches one mechanism off; throws base::Error with InvalidValue for a name that is not known.
 */
void disableMechanism(const std::string& mechanism, ConfigurationScenarioOptions& options);

}  // namespace switchsaddle::scenarios
