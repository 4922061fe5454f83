#pragma once

#include <cstddef>
#include <vector>

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::configuration {

/** @return the indices of an object's members ordered by name, duplicates in the order of the text.
 */
std::vector<std::size_t> sortedMembers(const JsonValue& object);

}  // namespace switchsaddle::configuration
