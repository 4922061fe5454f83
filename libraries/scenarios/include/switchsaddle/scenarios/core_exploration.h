#pragma once

#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/core/node/core_faults.h"
#include "switchsaddle/exploration/explorer.h"

namespace switchsaddle::scenarios {

/**
 * The first start of a fleet of three whole cores. Killed cores start again as in a fleet that was
 * started before. Invariants: one acceptor set is formed, and a change is acknowledged.
 */
std::unique_ptr<exploration::Scenario> firstSetScenario(core::CoreFaults faults = {});

/**
 * A replacement in a fleet of three whole cores and a spare one: a member is frozen until the
 * holder of the core-membership lease replaces it; meanwhile two operators change the
 * configuration. Runs may deviate from shortly before the joint acceptor set until its end.
 * Invariants: no version is acknowledged twice, no acknowledged change is lost or contradicted, at
 * most one core believes that it holds the lease, every change is answered, and the change of the
 * acceptor set ends once all machines run.
 */
std::unique_ptr<exploration::Scenario> replacementScenario(core::CoreFaults faults = {});

/**
 * An operator evacuates a zone, ends the evacuation and begins it again, in a fleet of three whole
 * cores. It gives each order up after a second and sends it to the next core, under another change
 * identifier. Messages between the operator and the cores count too. Invariant: the zone is
 * evacuated in the end.
 */
std::unique_ptr<exploration::Scenario> evacuationScenario(core::CoreFaults faults = {});

/** @return the names of all scenarios. */
std::vector<std::string> coreScenarioNames();
/** @throws base::Error with InvalidValue if there is no scenario with this name. */
std::unique_ptr<exploration::Scenario> coreScenario(const std::string& name,
                                                    core::CoreFaults faults = {});

}  // namespace switchsaddle::scenarios
