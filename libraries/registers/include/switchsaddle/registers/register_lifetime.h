#pragma once

#include <functional>
#include <optional>
#include <string>

#include "switchsaddle/base/time.h"

namespace switchsaddle::registers {

/**
 * Returns how long a register is kept after its value was accepted, or std::nullopt if it never
 * expires. Called with an empty value to determine whether registers with this key expire at all.
 */
using RegisterLifetimeSource =
    std::function<std::optional<base::Duration>(const std::string& key, const std::string& value)>;

}  // namespace switchsaddle::registers
