#pragma once

#include <vector>

#include "switchsaddle/fuzz/target.h"

namespace switchsaddle::fuzz {

/** The readers of text, without their corpus. */
std::vector<Target> textTargets();

}  // namespace switchsaddle::fuzz
