#include "record_file_names.h"

#include "identity_file.h"

namespace switchsaddle::storage {

std::string joinPath(const std::string& folder, const std::string& name) {
  return folder.empty() ? name : folder + "/" + name;
}

std::string recordPath(const std::string& name) {
  return joinPath(RecordsFolder, name);
}

std::string segmentName(const Segment& segment) {
  if (segment.is_run) {
    return paddedNumber(segment.first_commit) + "-" + paddedNumber(segment.last_commit) + RunSuffix;
  }
  return paddedNumber(segment.first_commit) + CommitSuffix;
}

std::string bucketName(std::size_t bucket, std::uint64_t last_commit) {
  return BucketPrefix + paddedNumber(bucket) + "-" + paddedNumber(last_commit) + BucketSuffix;
}

}  // namespace switchsaddle::storage
