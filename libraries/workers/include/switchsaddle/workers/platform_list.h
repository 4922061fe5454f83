#pragma once

#include <string>

#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle::workers {

/**
 * Parses the response body of the platform's GET /v1/workers. Unknown fields are ignored. A single
 * malformed worker makes the reading malformed, so that a partial list is never applied as a
 * complete one; `fault` then contains the JSON path. Does not throw.
 * @return the reading; WorkerEntry::instance holds the platform's generation of the worker, or zero
 *     if the platform sends none.
 */
PlatformReading parsePlatformList(const std::string& text);

}  // namespace switchsaddle::workers
