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
  /** Whether all files have been verified. Called only between two steps. */
  bool done() const { return files_.empty(); }
  /** Calls the callback with RecordCorrupt if any file is damaged. */
  void report() const;

 private:
  Callback callback_;
  bool listed_ = false;
  /** Files that have not been verified yet. */
  std::vector<std::string> files_;
  bool damaged_ = false;
  std::vector<std::string> damaged_keys_;
};

}  // namespace switchsaddle::storage
