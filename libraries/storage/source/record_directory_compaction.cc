// The part of RecordDirectory that merges older files, one bounded step at a time.

#include <algorithm>
#include <utility>

#include "record_directory.h"

namespace switchsaddle::storage {

namespace {

void keepNewest(std::map<std::string, Record>& newest, std::vector<Record> records) {
  for (Record& record : records) {
    std::string key = record.key;
    newest.insert_or_assign(std::move(key), std::move(record));
  }
}

std::vector<Record> newestRecords(std::map<std::string, Record>& newest, bool keep_removed) {
  std::vector<Record> records;
  records.reserve(newest.size());
  for (auto& [key, record] : newest) {
    if (keep_removed || !record.removed) {
      records.push_back(std::move(record));
    }
  }
  return records;
}

}  // namespace

bool RecordDirectory::compact() {
  if (failed_) {
    return false;
  }
  if (merge_) {
    mergeNextBucket();
    return true;
  }
  const auto is_run = [](const Segment& segment) { return segment.run; };
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
    makeRun(runs, segments_.size());
    return true;
  }
  if (runs >= options_.runs_for_merge || (runs > 0 && run_bytes >= options_.bytes_for_merge)) {
    beginMerge();
    return true;
  }
  return false;
}

void RecordDirectory::makeRun(std::size_t begin, std::size_t end) {
  // Commits that gathered while a merge went on are taken in several runs, each of bounded size.
  std::map<std::string, Record> newest;
  std::size_t bytes = 0;
  std::size_t taken = begin;
  while (taken < end && taken - begin < options_.commits_for_run &&
         (taken == begin || bytes < options_.bytes_for_run)) {
    bytes += segments_[taken].bytes;
    keepNewest(newest, readIntact(nameOf(segments_[taken])).records);
    ++taken;
  }
  Segment run{segments_[begin].first, segments_[taken - 1].last, 0, true};
  const std::string content =
      encodeRecordFile(RecordFile{run.first, run.last, newestRecords(newest, true)});
  run.bytes = content.size();
  publish("records", nameOf(run), content);
  const auto from = segments_.begin() + static_cast<std::ptrdiff_t>(begin);
  const auto until = segments_.begin() + static_cast<std::ptrdiff_t>(taken);
  const std::vector<Segment> replaced(from, until);
  segments_.insert(segments_.erase(from, until), run);
  for (const Segment& segment : replaced) {
    removeQuietly("records/" + nameOf(segment));
  }
}

void RecordDirectory::beginMerge() {
  Merge merge;
  merge.parts.resize(bucket_last_.size());
  for (const Segment& segment : segments_) {
    if (!segment.run) {
      break;
    }
    RecordFile file = readIntact(nameOf(segment));
    for (Record& record : file.records) {
      merge.parts[bucketOf(record.key)].push_back(std::move(record));
    }
    merge.last = segment.last;
  }
  merge_ = std::move(merge);
}

void RecordDirectory::beginRewrite(std::vector<Record> state) {
  if (failed_) {
    return;
  }
  Merge merge;
  merge.last = next_commit_ - 1;
  merge.full_state = true;
  merge.parts.resize(bucket_last_.size());
  for (Record& record : state) {
    merge.parts[bucketOf(record.key)].push_back(std::move(record));
  }
  merge_ = std::move(merge);
}

void RecordDirectory::mergeNextBucket() {
  const std::size_t bucket = merge_->next_bucket;
  if (bucket == bucket_last_.size()) {
    finishMerge();
    return;
  }
  const std::uint64_t former = bucket_last_[bucket];
  if (former < merge_->last || merge_->full_state) {
    std::map<std::string, Record> newest;
    if (former != 0 && !merge_->full_state) {
      keepNewest(newest, readIntact(bucketName(bucket, former)).records);
    }
    keepNewest(newest, merge_->parts[bucket]);
    const RecordFile file{1, merge_->last, newestRecords(newest, false)};
    publish("records", bucketName(bucket, merge_->last), encodeRecordFile(file));
    bucket_last_[bucket] = merge_->last;
    if (former != 0 && former != merge_->last) {
      removeQuietly("records/" + bucketName(bucket, former));
    }
  }
  merge_->parts[bucket].clear();
  ++merge_->next_bucket;
}

void RecordDirectory::finishMerge() {
  const std::uint64_t merged = bucketFloor();
  merge_.reset();
  std::vector<std::string> names;
  std::erase_if(segments_, [&](const Segment& segment) {
    if (segment.last > merged) {
      return false;
    }
    names.push_back(nameOf(segment));
    return true;
  });
  for (const std::string& name : names) {
    removeQuietly("records/" + name);
  }
}

}  // namespace switchsaddle::storage
