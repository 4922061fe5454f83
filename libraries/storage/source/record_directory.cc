#include "record_directory.h"

#include <algorithm>
#include <utility>

#include "identity_file.h"
#include "newest_records.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"

namespace switchsaddle::storage {

namespace {

const std::string RootFolder;
const std::string LostFolder = "lost";
const std::string IdentityName = "identity";

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

RecordDirectory::RecordDirectory(FileSystem& file_system, FileRecordStoreOptions options)
    : file_system_(file_system), options_(options) {}

OpenedStore RecordDirectory::open(std::uint64_t candidate_instance) {
  failed_ = true;
  merge_.reset();
  const bool has_identity = contains(file_system_.list(RootFolder), IdentityName);
  if (!has_identity) {
    return create(candidate_instance,
                  hasCommits() ? "record files exist, but the identity file is missing" : "");
  }
  const std::optional<Identity> identity = decodeIdentity(file_system_.read(IdentityName));
  if (!identity || identity->bucket_count == 0) {
    return create(candidate_instance, "the identity file is corrupt");
  }
  OpenedStore opened;
  opened.instance = identity->instance;
  bucket_commits_.assign(identity->bucket_count, 0);
  const std::string loss = loadRecords(opened.records);
  if (!loss.empty()) {
    return create(candidate_instance, loss);
  }
  makeDurable(*identity);
  opened.is_new = next_commit_ == FirstCommit + 1;
  return opened;
}

void RecordDirectory::makeDurable(const Identity& identity) {
  republish(RootFolder, IdentityName, encodeIdentity(identity));
  const std::string newest = liveFiles().back();
  republish(RecordsFolder, newest, file_system_.read(recordPath(newest)));
  failed_ = false;
}

void RecordDirectory::republish(const std::string& folder, const std::string& name,
                                const std::string& bytes) {
  try {
    publish(folder, name, bytes);
  } catch (const base::Error& error) {
    if (error.code() != base::ResultCode::StorageFull) {
      throw;
    }
    file_system_.syncFolder(folder);
  }
}

OpenedStore RecordDirectory::create(std::uint64_t instance, const std::string& loss) {
  if (!loss.empty()) {
    moveToLost(instance);
  }
  segments_.clear();
  bucket_commits_.assign(options_.bucket_count, 0);
  next_commit_ = FirstCommit;
  file_system_.createFolder(RecordsFolder);
  file_system_.syncFolder(RootFolder);
  failed_ = false;
  // The first commit is empty and is written before the identity. An identity without a record
  // file thus always means that files were lost.
  append({});
  publish(RootFolder, IdentityName, encodeIdentity(Identity{instance, options_.bucket_count}));
  OpenedStore opened;
  opened.instance = instance;
  opened.is_new = true;
  opened.loss = loss;
  return opened;
}

bool RecordDirectory::hasCommits() {
  // An interrupted create() leaves only the first commit or its temporary file.
  const std::string first_commit = segmentName(Segment{FirstCommit, FirstCommit, 0, false});
  const std::vector<std::string> names = file_system_.list(RecordsFolder);
  return std::any_of(names.begin(), names.end(),
                     [&](const std::string& name) { return !name.starts_with(first_commit); });
}

void RecordDirectory::moveToLost(std::uint64_t instance) {
  const std::string target = joinPath(LostFolder, paddedNumber(instance));
  file_system_.createFolder(LostFolder);
  file_system_.createFolder(target);
  file_system_.syncFolder(LostFolder);
  // The identity is moved first, so that a partly moved folder is never mistaken for a complete
  // one.
  if (contains(file_system_.list(RootFolder), IdentityName)) {
    file_system_.rename(IdentityName, joinPath(target, IdentityName));
    file_system_.syncFolder(target);
  }
  file_system_.syncFolder(RootFolder);
  for (const std::string& name : file_system_.list(RecordsFolder)) {
    file_system_.rename(recordPath(name), joinPath(target, name));
  }
  file_system_.syncFolder(target);
  if (contains(file_system_.list(RootFolder), RecordsFolder)) {
    file_system_.syncFolder(RecordsFolder);
  }
}

void RecordDirectory::append(std::vector<Record> records) {
  if (failed_) {
    throw base::Error(base::ResultCode::StorageFailed,
                      "the store is not open, or a sync or rename has failed since it was opened");
  }
  NewestRecords newest;
  newest.add(std::move(records));
  const std::uint64_t commit = next_commit_;
  const std::string bytes = encodeRecordFile(RecordFile{commit, commit, newest.extract()});
  const Segment segment{commit, commit, bytes.size(), false};
  publish(RecordsFolder, segmentName(segment), bytes);
  segments_.push_back(segment);
  ++next_commit_;
}

void RecordDirectory::publish(const std::string& folder, const std::string& name,
                              const std::string& bytes) {
  const std::string path = joinPath(folder, name);
  const std::string temporary = path + TemporarySuffix;
  // A failed write leaves only the temporary file. After a failure of a later step the content of
  // the disk is unknown.
  try {
    file_system_.write(temporary, bytes);
  } catch (const base::Error&) {
    removeObsolete(temporary);
    throw;
  }
  failed_ = true;
  file_system_.syncFile(temporary);
  file_system_.rename(temporary, path);
  file_system_.syncFolder(folder);
  failed_ = false;
}

std::vector<std::string> RecordDirectory::liveFiles() const {
  std::vector<std::string> names;
  for (std::size_t bucket = 0; bucket < bucket_commits_.size(); ++bucket) {
    if (bucket_commits_[bucket] != 0) {
      names.push_back(bucketName(bucket, bucket_commits_[bucket]));
    }
  }
  for (const Segment& segment : segments_) {
    names.push_back(segmentName(segment));
  }
  return names;
}

ScrubbedFile RecordDirectory::scrub(const std::string& name) {
  if (!contains(liveFiles(), name)) {
    return {};
  }
  DecodedFile decoded;
  try {
    decoded = decodeRecordFile(file_system_.read(recordPath(name)));
  } catch (const base::Error&) {
    decoded.intact = false;
  }
  return ScrubbedFile{decoded.intact, std::move(decoded.damaged_keys)};
}

RecordFile RecordDirectory::readIntact(const std::string& name) {
  DecodedFile decoded = decodeRecordFile(file_system_.read(recordPath(name)));
  if (!decoded.intact) {
    throw base::Error(base::ResultCode::RecordCorrupt, "corrupt record file " + name);
  }
  return std::move(decoded.file);
}

void RecordDirectory::removeObsolete(const std::string& path) {
  try {
    file_system_.remove(path);
  } catch (const base::Error&) {
    // The next open() removes it.
  }
}

std::size_t RecordDirectory::bucketOf(const std::string& key) const {
  return base::hashBytes(key) % bucket_commits_.size();
}

std::uint64_t RecordDirectory::bucketFloor() const {
  return *std::min_element(bucket_commits_.begin(), bucket_commits_.end());
}

}  // namespace switchsaddle::storage
