#pragma once

#include <cstdint>
#include <string>

namespace switchsaddle::streams {

/** One parsed event of a worker's stream. */
struct WorkerEvent {
  /** The worker's run id. */
  std::string run;
  /** The chunk's index in the run, from 0. */
  std::uint64_t index = 0;
  /** The JSON text of the chunk. */
  std::string data;
  /** The worker's end of the run ("[DONE]"); `index` is then the number of chunks. */
  bool done = false;
  /** Output tokens of the chunk, as counted by the worker. */
  std::uint32_t tokens = 1;
};

}  // namespace switchsaddle::streams
