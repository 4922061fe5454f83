#pragma once

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/routing/router.h"

namespace switchsaddle::front {

/** Whether a placement is acceptable, with the Retry-After time if not. */
struct PlacementVerdict {
  base::ResultCode code = base::ResultCode::Ok;
  std::uint32_t retry_after_ms = 0;
};

/** Compares a placement's first-token estimate with the limit of the session shape.
 * @return FirstTokenTooLate if the estimate is above it, with the excess as Retry-After time. */
PlacementVerdict evaluatePlacement(const routing::Placement& placement,
                                   const configuration::SessionShape& shape);

}  // namespace switchsaddle::front
