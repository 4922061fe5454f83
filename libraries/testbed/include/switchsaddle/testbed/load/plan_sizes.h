#pragma once

#include <cstddef>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::testbed {

/** Numbers of models, regions and zones of the plan in docs/CAPACITY.md. */
inline constexpr std::size_t PlanModels = 9;
inline constexpr std::size_t PlanRegions = 8;
inline constexpr std::size_t PlanZones = 28;

/** A valid configuration with this many tenants; each tenant has its own key and two branches. */
configuration::Document planDocument(std::size_t tenants);

/** A view of this many workers, distributed over the plan's zones and models in rotation. */
wire::WorkerView planWorkers(std::size_t count);

}  // namespace switchsaddle::testbed
