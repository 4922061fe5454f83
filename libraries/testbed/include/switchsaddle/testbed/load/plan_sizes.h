#pragma once

#include <cstddef>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::testbed {

/** Models, regions and zones of the plan in docs/CAPACITY.md. */
inline constexpr std::size_t PlanModels = 9;
inline constexpr std::size_t PlanRegions = 8;
inline constexpr std::size_t PlanZones = 28;

/** A valid configuration with this many tenants, each with a key and two branches of its own. */
configuration::Document planDocument(std::size_t tenants);

/** A worker view of this many workers, spread over the plan's zones and models. */
wire::WorkerView planWorkers(std::size_t count);

}  // namespace switchsaddle::testbed
