#pragma once

#include <optional>
#include <string>

#include "switchsaddle/wire/register_messages.h"

namespace switchsaddle::registers {

/**
 * Lowers the frontier of several pages, the last key up to which all of them are complete, by one
 * page.
 * @param frontier nothing where every page so far reaches the end of the registers.
 */
void lowerFrontier(std::optional<std::string>& frontier, const wire::RegisterScanReply& page);

}  // namespace switchsaddle::registers
