#pragma once

#include <string>

#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle::workers {

/**
 * Parses the response body of the platform's GET /v1/workers. Unknown fields are ignored. A single
 * malformed worker makes the reading malformed, so that a partial list is never taken for a
 * complete one; `fault` then names the JSON path. Does not throw.
 * @return the reading; WorkerEntry::instance holds the platform's generation of the worker, zero if
 *     it states none.
 */
PlatformReading parsePlatformList(const std::string& text);

}  // namespace switchsaddle::workers
