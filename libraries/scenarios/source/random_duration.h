#pragma once

#include "switchsaddle/base/random.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::scenarios {

/** A uniformly random duration between two bounds, both included. */
inline base::Duration randomDuration(base::RandomSource& random, base::Duration shortest,
                                     base::Duration longest) {
  const auto span = static_cast<std::uint64_t>((longest - shortest).count());
  return shortest + base::Duration(random.below(span + 1));
}

}  // namespace switchsaddle::scenarios
