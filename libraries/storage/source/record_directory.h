#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "identity_file.h"
#include "record_file.h"
#include "record_file_names.h"
#include "switchsaddle/storage/file_record_store.h"
#include "switchsaddle/storage/file_system.h"

namespace switchsaddle::storage {

/** The result of verifying one file. */
struct ScrubbedFile {
  bool intact = true;
  std::vector<std::string> damaged_keys;
};

/**
 * The data folder of a FileRecordStore. All methods block and run on the storage executor.
 *
 * `identity` contains the instance id. In `records/` are commit files (`N.rec`), runs made of
 * consecutive commit files (`FIRST-LAST.run`) and, for each bucket of keys, one file with the
 * bucket's complete state up to a commit (`bucket-B-LAST.snap`). Files are written under a
 * temporary name, synced, renamed and their folder synced before those they replace are removed.
 * Invariant: the buckets, runs and commits on disk cover all commits without a gap at all times.
 * Opening checks this; it cannot detect the loss of the newest file, which leaves no gap. A folder
 * that fails the check is moved into `lost/` and a new instance begins.
 */
class RecordDirectory {
 public:
  RecordDirectory(FileSystem& file_system, FileRecordStoreOptions options);

  /**
   * Reads the folder, or creates a new one.
   * @param candidate_instance the instance of a new folder.
   * @throws base::Error with StorageFailed or StorageFull.
   */
  OpenedStore open(std::uint64_t candidate_instance);
  /** Makes the records durable as the next commit. @throws base::Error as open(). */
  void append(std::vector<Record> records);
  /** Has the next steps of compaction write these records, the complete state after the newest
   * commit, and replace every file. Does nothing if the store must be opened again. */
  void beginRewrite(std::vector<Record> state);
  /** Runs one bounded step of compaction. @return whether another is due. @throws base::Error as
   * open(), or with RecordCorrupt. */
  bool compact();
  /** @return the names of the files that make up the state. */
  std::vector<std::string> liveFiles() const;
  /** Verifies one file. A file that has been replaced since it was listed counts as intact. */
  ScrubbedFile scrub(const std::string& name);

 private:
  /** A merge of runs, or of a given complete state, into the buckets over several steps. */
  struct Merge {
    std::uint64_t last_commit = 0;
    /** The records are the complete state, so that no file is read. */
    bool is_rewrite = false;
    std::size_t next_bucket = 0;
    /** The records of each bucket in the order of their commits. */
    std::vector<std::vector<Record>> bucket_records;
  };
  /** The result of listing a folder. */
  struct FolderScan {
    /** Files that are not part of the state. */
    std::vector<std::string> obsolete;
    /** Why the folder is incomplete; empty if it is complete. */
    std::string loss;
  };

  /** Makes the state that was just read durable. An earlier process may have crashed between a
   * rename and the sync of its folder, or that sync may have failed; a repeated sync can then
   * succeed without effect. Each folder is therefore changed first, so that its sync covers all its
   * names. On a full disk the folder is only synced. */
  void makeDurable(const Identity& identity);
  void republish(const std::string& folder, const std::string& name, const std::string& bytes);
  OpenedStore create(std::uint64_t instance, const std::string& loss);
  /** Whether `records/` contains more than an interrupted create() leaves. */
  bool hasCommits();
  void moveToLost(std::uint64_t instance);

  // Loading, in record_directory_load.cc. The functions that return a string return why the folder
  // is incomplete, or an empty string.
  FolderScan scanFolder();
  void scanName(const std::string& name, FolderScan& scan);
  /** Drops segments covered by buckets or longer segments, and checks for gaps. */
  void dropCovered(FolderScan& scan);
  std::string loadRecords(std::map<std::string, std::string>& records);
  std::string loadBuckets(std::map<std::string, std::string>& records);
  std::string loadSegments(std::map<std::string, std::string>& records);

  /** Writes a file atomically: after any failure it is complete under its name, or absent. */
  void publish(const std::string& folder, const std::string& name, const std::string& bytes);
  /** Removes a file that is no longer needed. If that fails, the next open() removes it. */
  void removeObsolete(const std::string& path);
  RecordFile readIntact(const std::string& name);
  std::size_t bucketOf(const std::string& key) const;
  /** @return the commit up to which every bucket file is complete. */
  std::uint64_t bucketFloor() const;

  // Compaction, in record_directory_compaction.cc.
  /** Merges commit files from `begin` on into one run of bounded size. */
  void makeRun(std::size_t begin);
  void beginMerge();
  void mergeNextBucket();
  void mergeBucket(std::size_t bucket);
  void finishMerge();

  FileSystem& file_system_;
  const FileRecordStoreOptions options_;
  /** Sorted by range and without overlap. */
  std::vector<Segment> segments_;
  /** Last commit in each bucket's file; 0 if there is no file. */
  std::vector<std::uint64_t> bucket_commits_;
  std::uint64_t next_commit_ = 1;
  /** Set until open() succeeds and after a failed sync or rename: the content of the disk is
   * unknown. */
  bool failed_ = true;
  std::optional<Merge> merge_;
};

}  // namespace switchsaddle::storage
