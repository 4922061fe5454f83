#include "scrub_job.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace switchsaddle::storage {

void ScrubJob::step(RecordDirectory& directory) {
  if (!listed_) {
    files_ = directory.liveFiles();
    listed_ = true;
    return;
  }
  ScrubbedFile scrubbed = directory.scrub(files_.back());
  files_.pop_back();
  damaged_ = damaged_ || !scrubbed.intact;
  std::move(scrubbed.damaged_keys.begin(), scrubbed.damaged_keys.end(),
            std::back_inserter(damaged_keys_));
}

void ScrubJob::report() const {
  if (abandoned_) {
    callback_(base::ResultCode::StorageFailed, {});
    return;
  }
  callback_(damaged_ ? base::ResultCode::RecordCorrupt : base::ResultCode::Ok, damaged_keys_);
}

}  // namespace switchsaddle::storage
