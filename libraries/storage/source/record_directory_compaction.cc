// RecordDirectory: compaction, which merges older files in bounded steps.

#include <algorithm>
#include <utility>

#include "newest_records.h"
#include "record_directory.h"

namespace switchsaddle::storage {

bool RecordDirectory::compact() {
  if (failed_) {
    return false;
  }
  if (merge_) {
    mergeNextBucket();
    return true;
  }
  const auto is_run = [](const Segment& segment) { return segment.is_run; };
  const auto first_commit = std::find_if_not(segments_.begin(), segments_.end(), is_run);
  const std::size_t runs = static_cast<std::size_t>(first_commit - segments_.begin());
  std::size_t run_bytes = 0;
  std::size_t commit_bytes = 0;
  for (std::size_t index = 0; index < segments_.size(); ++index) {
    (index < runs ? run_bytes : commit_bytes) += segments_[index].bytes;
  }
  const std::size_t commits = segments_.size() - runs;
  if (commits >= options_.commits_for_run ||
      (commits > 1 && commit_bytes >= options_.bytes_for_run)) {
    makeRun(runs);
    return true;
  }
  if (runs >= options_.runs_for_merge || (runs > 0 && run_bytes >= options_.bytes_for_merge)) {
    beginMerge();
    return true;
  }
  return false;
}

void RecordDirectory::makeRun(std::size_t begin) {
  NewestRecords newest;
  std::size_t bytes = 0;
  std::size_t end = begin;
  while (end < segments_.size() && end - begin < options_.commits_for_run &&
         (end == begin || bytes < options_.bytes_for_run)) {
    bytes += segments_[end].bytes;
    newest.add(readIntact(segmentName(segments_[end])).records);
    ++end;
  }
  Segment run{segments_[begin].first_commit, segments_[end - 1].last_commit, 0, true};
  const std::string content =
      encodeRecordFile(RecordFile{run.first_commit, run.last_commit, newest.extract()});
  run.bytes = content.size();
  publish(RecordsFolder, segmentName(run), content);
  const auto from = segments_.begin() + static_cast<std::ptrdiff_t>(begin);
  const auto until = segments_.begin() + static_cast<std::ptrdiff_t>(end);
  const std::vector<Segment> replaced(from, until);
  segments_.insert(segments_.erase(from, until), run);
  for (const Segment& segment : replaced) {
    removeObsolete(recordPath(segmentName(segment)));
  }
}

void RecordDirectory::beginMerge() {
  Merge merge;
  merge.bucket_records.resize(bucket_commits_.size());
  for (const Segment& segment : segments_) {
    if (!segment.is_run) {
      break;
    }
    RecordFile file = readIntact(segmentName(segment));
    for (Record& record : file.records) {
      merge.bucket_records[bucketOf(record.key)].push_back(std::move(record));
    }
    merge.last_commit = segment.last_commit;
  }
  merge_ = std::move(merge);
}

void RecordDirectory::beginRewrite(std::vector<Record> state) {
  if (failed_) {
    return;
  }
  Merge merge;
  merge.last_commit = next_commit_ - 1;
  merge.is_rewrite = true;
  merge.bucket_records.resize(bucket_commits_.size());
  for (Record& record : state) {
    merge.bucket_records[bucketOf(record.key)].push_back(std::move(record));
  }
  merge_ = std::move(merge);
}

void RecordDirectory::mergeNextBucket() {
  const std::size_t bucket = merge_->next_bucket;
  if (bucket == bucket_commits_.size()) {
    finishMerge();
    return;
  }
  if (bucket_commits_[bucket] < merge_->last_commit || merge_->is_rewrite) {
    mergeBucket(bucket);
  }
  merge_->bucket_records[bucket].clear();
  ++merge_->next_bucket;
}

void RecordDirectory::mergeBucket(std::size_t bucket) {
  const std::uint64_t previous = bucket_commits_[bucket];
  const std::uint64_t last = merge_->last_commit;
  NewestRecords newest;
  if (previous != 0 && !merge_->is_rewrite) {
    newest.add(readIntact(bucketName(bucket, previous)).records);
  }
  newest.add(merge_->bucket_records[bucket]);
  const RecordFile file{FirstCommit, last, newest.extractPresent()};
  publish(RecordsFolder, bucketName(bucket, last), encodeRecordFile(file));
  bucket_commits_[bucket] = last;
  if (previous != 0 && previous != last) {
    removeObsolete(recordPath(bucketName(bucket, previous)));
  }
}

void RecordDirectory::finishMerge() {
  const std::uint64_t merged = bucketFloor();
  merge_.reset();
  std::vector<std::string> names;
  std::erase_if(segments_, [&](const Segment& segment) {
    if (segment.last_commit > merged) {
      return false;
    }
    names.push_back(segmentName(segment));
    return true;
  });
  for (const std::string& name : names) {
    removeObsolete(recordPath(name));
  }
}

}  // namespace switchsaddle::storage
