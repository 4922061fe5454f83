#pragma once

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/routing/router.h"

namespace switchsaddle::front {

/** A verdict on a placement, with when to ask again. */
struct PlacementVerdict {
  base::ResultCode code = base::ResultCode::Ok;
  std::uint32_t retry_after_ms = 0;
};

/** Holds a placement's first-token estimate against the shape's bound: FirstTokenTooLate where it
 * is above, with Retry-After by how much. */
PlacementVerdict evaluatePlacement(const routing::Placement& placement,
                                   const configuration::SessionShape& shape);

}  // namespace switchsaddle::front
