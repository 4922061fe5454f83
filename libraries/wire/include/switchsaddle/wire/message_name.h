#pragma once

#include <cstddef>
#include <string_view>

#include "switchsaddle/wire/message.h"

namespace switchsaddle::wire {

/** @return the name of the alternative of Message with this index. */
std::string_view messageName(std::size_t index);
/** @return the name of the message's type. */
std::string_view messageName(const Message& message);

}  // namespace switchsaddle::wire
