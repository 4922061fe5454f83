#pragma once

#include <optional>
#include <string>

#include "switchsaddle/wire/register_messages.h"

namespace switchsaddle::registers {

/**
 * Includes one more page in the frontier, the last key up to which all of several pages are
 * complete.
 * @param frontier std::nullopt if every page so far reaches the end of the registers.
 */
void lowerFrontier(std::optional<std::string>& frontier, const wire::RegisterScanReply& page);

}  // namespace switchsaddle::registers
