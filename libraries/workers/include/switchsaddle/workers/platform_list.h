#pragma once

#include <string>

#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle::workers {

/**
 * Reads the body of the platform's GET /v1/workers. Fields that are not known are passed over. One
 * malformed worker makes the whole reading malformed, with `fault` naming the place, so that half a
 * list is never taken for a whole one. `WorkerEntry::instance` holds the platform's own generation
 * of the worker, zero where it gives none. Never throws.
 */
PlatformReading parsePlatformList(const std::string& text);

}  // namespace switchsaddle::workers
