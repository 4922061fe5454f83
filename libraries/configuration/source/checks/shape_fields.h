#pragma once

#include <array>
#include <cstdint>

#include "object_reader.h"
#include "parsed_configuration.h"

namespace switchsaddle::configuration {

/** A numeric field of a session shape. */
struct ShapeField {
  const char* name;
  IntegerRange range;
  std::int64_t default_value;
  /** The field in the template. */
  ShapeNumber ShapeTemplate::*member;
  /** The field in the resolved shape. */
  std::uint32_t SessionShape::*resolved;
};

/** All numeric fields of a session shape. */
inline constexpr std::array ShapeFields{
    ShapeField{"first_token_ms",
               {1, 600'000},
               2'000,
               &ShapeTemplate::first_token_ms,
               &SessionShape::first_token_ms},
    ShapeField{"stream_deadline_ms",
               {1'000, 86'400'000},
               300'000,
               &ShapeTemplate::stream_deadline_ms,
               &SessionShape::stream_deadline_ms},
    ShapeField{"one_shot_deadline_ms",
               {1, 600'000},
               10'000,
               &ShapeTemplate::one_shot_deadline_ms,
               &SessionShape::one_shot_deadline_ms},
    ShapeField{"maximum_tokens",
               {1, 1'000'000},
               4'096,
               &ShapeTemplate::maximum_tokens,
               &SessionShape::maximum_tokens},
};

}  // namespace switchsaddle::configuration
