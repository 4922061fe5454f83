#include "switchsaddle/front/admission/admission_gate.h"

namespace switchsaddle::front {

PlacementVerdict evaluatePlacement(const routing::Placement& placement,
                                   const configuration::SessionShape& shape) {
  const std::int64_t estimate_ms = base::toMilliseconds(placement.first_token_estimate);
  const std::int64_t excess_ms = estimate_ms - static_cast<std::int64_t>(shape.first_token_ms);
  if (excess_ms <= 0) {
    return {};
  }
  return {base::ResultCode::FirstTokenTooLate, static_cast<std::uint32_t>(excess_ms)};
}

}  // namespace switchsaddle::front
