#pragma once

#include <string>
#include <vector>

#include "record_directory.h"

namespace switchsaddle::storage {

/** One pass over all live files that verifies their checksums, in steps of one file. */
class ScrubJob {
 public:
  using Callback = std::function<void(base::ResultCode, const std::vector<std::string>&)>;

  explicit ScrubJob(Callback callback) : callback_(std::move(callback)) {}

  /** The first step lists the files, each later step verifies one. Runs on the executor. */
  void step(RecordDirectory& directory);
  /** Ends the pass after a step that failed, which says nothing of the files. */
  void abandon() { abandoned_ = true; }
  /** Whether all files have been verified. Called only between two steps. */
  bool done() const { return abandoned_ || files_.empty(); }
  /** Calls the callback: RecordCorrupt if a file is damaged, StorageFailed if the pass was
   * abandoned. */
  void report() const;

 private:
  Callback callback_;
  bool listed_ = false;
  /** Files that have not been verified yet. */
  std::vector<std::string> files_;
  bool damaged_ = false;
  bool abandoned_ = false;
  std::vector<std::string> damaged_keys_;
};

}  // namespace switchsaddle::storage
