#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/streams/worker_event.h"

namespace switchsaddle::streams {

/** @return a worker's chunk as text/event-stream, with its run added to the data if absent. */
std::string formatChunk(std::uint64_t id, const WorkerEvent& event);
/** @return the end of a complete run as text/event-stream. */
std::string formatDone(std::uint64_t id, const WorkerEvent& event);
/**
 * @param chunks number of chunks emitted before the error.
 * @return an error event as text/event-stream.
 */
std::string formatError(base::ResultCode code, std::uint64_t chunks, const std::string& run);

}  // namespace switchsaddle::streams
