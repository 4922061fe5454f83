#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::streams {

/** One event of a worker's stream, parsed. */
struct WorkerEvent {
  /** The worker's run id. */
  std::string run;
  /** The piece's index in the run, from 0. */
  std::uint64_t index = 0;
  /** The JSON text of the piece. */
  std::string data;
  /** The worker's own end of the run ("[DONE]"); index then is the number of pieces. */
  bool done = false;
  /** Output tokens of the piece, as the worker counts them. */
  std::uint32_t tokens = 1;
};

/**
 * Holds a worker's stream to the one run and order it began with. Accepts each piece once, in
 * order. After a fault every further event is refused with the same code.
 */
class SequenceChecker {
 public:
  /** Binds the stream to the run the worker named in its response header; an empty name binds
   * nothing. Called before the first event. */
  void expectRun(const std::string& run);
  /** Ok, or StreamGap, StreamRepeat or StreamRunChanged. */
  base::ResultCode accept(const WorkerEvent& event);
  /** Whether the run's own end has been accepted. */
  bool finished() const { return finished_; }
  /** Pieces accepted so far; the next piece's index. */
  std::uint64_t accepted() const { return next_index_; }
  const std::string& run() const { return run_; }

 private:
  base::ResultCode fault_ = base::ResultCode::Ok;
  std::string run_;
  std::uint64_t next_index_ = 0;
  bool started_ = false;
  bool finished_ = false;
};

}  // namespace switchsaddle::streams
