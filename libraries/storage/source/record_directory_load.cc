// The part of RecordDirectory that reads a folder back and decides whether it is whole.

#include <algorithm>
#include <utility>

#include "identity_file.h"
#include "record_directory.h"

namespace switchsaddle::storage {

namespace {

const std::string CommitSuffix = ".rec";
const std::string RunSuffix = ".run";
const std::string BucketSuffix = ".snap";
const std::string BucketPrefix = "bucket-";
constexpr std::size_t NumberDigits = 20;

void applyRecord(std::map<std::string, std::string>& records, Record record) {
  if (record.removed) {
    records.erase(record.key);
  } else {
    records[std::move(record.key)] = std::move(record.bytes);
  }
}

}  // namespace

/** Names found that hold nothing of the state, and why the folder is not whole, if it is not. */
struct RecordDirectory::Leftovers {
  std::vector<std::string> names;
  std::string loss;
};

std::string RecordDirectory::loadRecords(std::map<std::string, std::string>& records) {
  Leftovers leftovers;
  scanNames(leftovers);
  if (!leftovers.loss.empty()) {
    return leftovers.loss;
  }
  std::string loss = loadBuckets(records);
  if (loss.empty()) {
    loss = loadSegments(records);
  }
  if (!loss.empty()) {
    return loss;
  }
  // Only now, since a folder which is given up is kept as it was found.
  for (const std::string& name : leftovers.names) {
    removeQuietly("records/" + name);
  }
  return {};
}

void RecordDirectory::scanNames(Leftovers& leftovers) {
  segments_.clear();
  for (const std::string& name : file_system_.list("records")) {
    scanName(name, leftovers);
  }
  dropCovered(leftovers);
}

void RecordDirectory::scanName(const std::string& name, Leftovers& leftovers) {
  if (name.ends_with(".tmp")) {
    leftovers.names.push_back(name);
    return;
  }
  const bool is_bucket = name.starts_with(BucketPrefix) && name.ends_with(BucketSuffix);
  const std::size_t offset = is_bucket ? BucketPrefix.size() : 0;
  const std::optional<std::uint64_t> first = parsePaddedNumber(name, offset);
  const std::optional<std::uint64_t> second = parsePaddedNumber(name, offset + NumberDigits + 1);
  if (is_bucket && first && second && *first < bucket_last_.size()) {
    std::uint64_t& last = bucket_last_[*first];
    if (last != 0) {
      leftovers.names.push_back(bucketName(*first, std::min(last, *second)));
    }
    last = std::max(last, *second);
  } else if (!is_bucket && name.ends_with(RunSuffix) && first && second) {
    segments_.push_back(Segment{*first, *second, 0, true});
  } else if (!is_bucket && name.ends_with(CommitSuffix) && first) {
    segments_.push_back(Segment{*first, *first, 0, false});
  } else {
    leftovers.loss = "unknown record file " + name;
  }
}

void RecordDirectory::dropCovered(Leftovers& leftovers) {
  // Of two that begin alike the longer comes first, and a run before its only commit.
  std::sort(segments_.begin(), segments_.end(), [](const Segment& left, const Segment& right) {
    if (left.first != right.first) {
      return left.first < right.first;
    }
    return left.last != right.last ? left.last > right.last : left.run > right.run;
  });
  std::uint64_t covered = bucketFloor();
  std::vector<Segment> live;
  for (const Segment& segment : segments_) {
    if (segment.last <= covered) {
      leftovers.names.push_back(nameOf(segment));
      continue;
    }
    if (segment.first != covered + 1) {
      leftovers.loss = "commit " + std::to_string(covered + 1) + " is missing";
      return;
    }
    live.push_back(segment);
    covered = segment.last;
  }
  const std::uint64_t newest_bucket = *std::max_element(bucket_last_.begin(), bucket_last_.end());
  if (covered == 0 || covered < newest_bucket) {
    leftovers.loss = "commit " + std::to_string(covered + 1) + " is missing";
    return;
  }
  segments_ = std::move(live);
  next_commit_ = covered + 1;
}

std::string RecordDirectory::loadBuckets(std::map<std::string, std::string>& records) {
  for (std::size_t bucket = 0; bucket < bucket_last_.size(); ++bucket) {
    if (bucket_last_[bucket] == 0) {
      continue;
    }
    const std::string name = bucketName(bucket, bucket_last_[bucket]);
    DecodedFile decoded = decodeRecordFile(file_system_.read("records/" + name));
    if (!decoded.intact || decoded.file.last != bucket_last_[bucket]) {
      return "corrupt record file " + name;
    }
    for (Record& record : decoded.file.records) {
      if (bucketOf(record.key) != bucket) {
        return "record file of another bucket " + name;
      }
      applyRecord(records, std::move(record));
    }
  }
  return {};
}

std::string RecordDirectory::loadSegments(std::map<std::string, std::string>& records) {
  for (Segment& segment : segments_) {
    const std::string name = nameOf(segment);
    const std::string bytes = file_system_.read("records/" + name);
    segment.bytes = bytes.size();
    DecodedFile decoded = decodeRecordFile(bytes);
    const bool range_matches =
        decoded.file.first == segment.first && decoded.file.last == segment.last;
    if (!decoded.intact || !range_matches) {
      return "corrupt record file " + name;
    }
    // Buckets ahead of the others see some records again; all that came later follow as well.
    for (Record& record : decoded.file.records) {
      applyRecord(records, std::move(record));
    }
  }
  return {};
}

}  // namespace switchsaddle::storage
