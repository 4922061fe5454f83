#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/streams/worker_event.h"

namespace switchsaddle::streams {

/**
 * Checks that the events of a worker's stream belong to one run and arrive in order, each once.
 * Invariant: after a fault every further event is rejected with the same code. Runs on its owner's
 * strand.
 */
class SequenceChecker {
 public:
  /**
   * Sets the run named by the response header; called before the first event.
   *
   * @param run if empty, the first event determines the run.
   */
  void expectRun(const std::string& run);
  /** @return Ok, or StreamGap, StreamRepeat or StreamRunChanged. */
  base::ResultCode accept(const WorkerEvent& event);
  /** Whether the end of the run has been accepted. */
  bool finished() const { return finished_; }
  /** @return the number of accepted chunks, which is the index of the next one. */
  std::uint64_t accepted() const { return next_index_; }
  const std::string& run() const { return run_; }

 private:
  base::ResultCode check(const WorkerEvent& event) const;

  base::ResultCode fault_ = base::ResultCode::Ok;
  std::string run_;
  std::uint64_t next_index_ = 0;
  bool run_known_ = false;
  bool finished_ = false;
};

}  // namespace switchsaddle::streams
