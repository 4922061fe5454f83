#pragma once

#include <string>
#include <vector>

#include "switchsaddle/routing/router.h"
#include "switchsaddle/routing/router_context.h"

namespace switchsaddle::routing {

/**
 * Builds the rows of GET /v1/routing, sorted by model and arm.
 *
 * @param model limits the rows to one model; empty: all models.
 */
std::vector<RoutingRow> buildRoutingTable(const RouterContext& context, const ModelPools& pools,
                                          const std::string& model);

}  // namespace switchsaddle::routing
