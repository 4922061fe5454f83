// RecordDirectory: reads a folder and checks whether it is complete.

#include <algorithm>
#include <utility>

#include "identity_file.h"
#include "record_directory.h"

namespace switchsaddle::storage {

namespace {

void applyRecord(std::map<std::string, std::string>& records, Record record) {
  if (record.removed) {
    records.erase(record.key);
  } else {
    records[std::move(record.key)] = std::move(record.bytes);
  }
}

}  // namespace

std::string RecordDirectory::loadRecords(std::map<std::string, std::string>& records) {
  const FolderScan scan = scanFolder();
  if (!scan.loss.empty()) {
    return scan.loss;
  }
  std::string loss = loadBuckets(records);
  if (loss.empty()) {
    loss = loadSegments(records);
  }
  if (!loss.empty()) {
    return loss;
  }
  // Obsolete files are removed last, since an incomplete folder is kept as it was found.
  for (const std::string& name : scan.obsolete) {
    removeObsolete(recordPath(name));
  }
  return {};
}

RecordDirectory::FolderScan RecordDirectory::scanFolder() {
  FolderScan scan;
  segments_.clear();
  for (const std::string& name : file_system_.list(RecordsFolder)) {
    scanName(name, scan);
  }
  dropCovered(scan);
  return scan;
}

void RecordDirectory::scanName(const std::string& name, FolderScan& scan) {
  if (name.ends_with(TemporarySuffix)) {
    scan.obsolete.push_back(name);
    return;
  }
  const bool is_bucket = name.starts_with(BucketPrefix) && name.ends_with(BucketSuffix);
  const std::size_t offset = is_bucket ? BucketPrefix.size() : 0;
  const std::optional<std::uint64_t> first = parsePaddedNumber(name, offset);
  const std::optional<std::uint64_t> second =
      parsePaddedNumber(name, offset + PaddedNumberDigits + 1);
  if (is_bucket && first && second && *first < bucket_commits_.size()) {
    std::uint64_t& last = bucket_commits_[*first];
    if (last != 0) {
      scan.obsolete.push_back(bucketName(*first, std::min(last, *second)));
    }
    last = std::max(last, *second);
  } else if (!is_bucket && name.ends_with(RunSuffix) && first && second) {
    segments_.push_back(Segment{*first, *second, 0, true});
  } else if (!is_bucket && name.ends_with(CommitSuffix) && first) {
    segments_.push_back(Segment{*first, *first, 0, false});
  } else {
    scan.loss = "unexpected file in the records folder: " + name;
  }
}

void RecordDirectory::dropCovered(FolderScan& scan) {
  // For equal first commits, the longer segment comes first, and a run precedes a commit.
  std::sort(segments_.begin(), segments_.end(), [](const Segment& left, const Segment& right) {
    if (left.first_commit != right.first_commit) {
      return left.first_commit < right.first_commit;
    }
    return left.last_commit != right.last_commit ? left.last_commit > right.last_commit
                                                 : left.is_run > right.is_run;
  });
  std::uint64_t covered = bucketFloor();
  std::vector<Segment> live;
  for (const Segment& segment : segments_) {
    if (segment.last_commit <= covered) {
      scan.obsolete.push_back(segmentName(segment));
      continue;
    }
    if (segment.first_commit != covered + 1) {
      scan.loss = "commit " + std::to_string(covered + 1) + " is missing";
      return;
    }
    live.push_back(segment);
    covered = segment.last_commit;
  }
  const std::uint64_t newest_bucket =
      *std::max_element(bucket_commits_.begin(), bucket_commits_.end());
  if (covered == 0 || covered < newest_bucket) {
    scan.loss = "commit " + std::to_string(covered + 1) + " is missing";
    return;
  }
  segments_ = std::move(live);
  next_commit_ = covered + 1;
}

std::string RecordDirectory::loadBuckets(std::map<std::string, std::string>& records) {
  for (std::size_t bucket = 0; bucket < bucket_commits_.size(); ++bucket) {
    if (bucket_commits_[bucket] == 0) {
      continue;
    }
    const std::string name = bucketName(bucket, bucket_commits_[bucket]);
    DecodedFile decoded = decodeRecordFile(file_system_.read(recordPath(name)));
    if (!decoded.intact || decoded.file.last != bucket_commits_[bucket]) {
      return "corrupt record file " + name;
    }
    for (Record& record : decoded.file.records) {
      if (bucketOf(record.key) != bucket) {
        return "key of another bucket in record file " + name;
      }
      applyRecord(records, std::move(record));
    }
  }
  return {};
}

std::string RecordDirectory::loadSegments(std::map<std::string, std::string>& records) {
  for (Segment& segment : segments_) {
    const std::string name = segmentName(segment);
    const std::string bytes = file_system_.read(recordPath(name));
    segment.bytes = bytes.size();
    DecodedFile decoded = decodeRecordFile(bytes);
    const bool range_matches =
        decoded.file.first == segment.first_commit && decoded.file.last == segment.last_commit;
    if (!decoded.intact || !range_matches) {
      return "corrupt record file " + name;
    }
    // A bucket file that is newer than the others already contains some of these records. Applying
    // them again is harmless, since all later records follow.
    for (Record& record : decoded.file.records) {
      applyRecord(records, std::move(record));
    }
  }
  return {};
}

}  // namespace switchsaddle::storage
