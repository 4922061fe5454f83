#pragma once

#include <vector>

#include "switchsaddle/fuzz/target.h"

namespace switchsaddle::fuzz {

/** The decoders of peers' messages and of stored records, with encoded samples as corpus. */
std::vector<Target> binaryTargets();

}  // namespace switchsaddle::fuzz
