#pragma once

#include <vector>

#include "switchsaddle/fuzz/target.h"

namespace switchsaddle::fuzz {

/** The parsers of text input, without their corpus. */
std::vector<Target> textTargets();

}  // namespace switchsaddle::fuzz
