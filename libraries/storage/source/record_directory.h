#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "identity_file.h"
#include "record_file.h"
#include "switchsaddle/storage/file_record_store.h"
#include "switchsaddle/storage/file_system.h"

namespace switchsaddle::storage {

/** What reading one file again found. */
struct ScrubbedFile {
  bool intact = true;
  std::vector<std::string> damaged_keys;
};

/**
 * The data folder of a FileRecordStore. All methods block and run on the storage executor.
 *
 * `identity` holds the instance id. In `records/` lie commit files (`N.rec`), runs made of
 * consecutive commit files (`FIRST-LAST.run`) and, for each bucket of keys, one file with the
 * bucket's whole state up to a commit (`bucket-B-LAST.snap`). Files are written aside, synced,
 * renamed and their folder synced before those they replace are removed, so that at every moment
 * the buckets, runs and commits on disk cover all commits without a gap: that is what opening
 * checks; only the loss of the newest file leaves no gap. A folder that fails the check is moved
 * into `lost/` and a new instance begins.
 */
class RecordDirectory {
 public:
  RecordDirectory(FileSystem& file_system, FileRecordStoreOptions options);

  /** Reads the folder, or begins a new one as `candidate_instance`. Throws base::Error where the
   * disk refuses. */
  OpenedStore open(std::uint64_t candidate_instance);
  /** Makes the records durable as the next commit. Throws base::Error. */
  void append(std::vector<Record> records);
  /** Lets the steps of compaction write these records, the whole state after the newest commit, in
   * place of every file there is. Nothing where the store must be opened again. */
  void beginRewrite(std::vector<Record> state);
  /** Does one bounded step of compaction; true where another is due. Throws base::Error. */
  bool compact();
  /** Names of the files that make up the state. */
  std::vector<std::string> liveFiles() const;
  /** Reads one file again; a file replaced in the meantime counts as intact. */
  ScrubbedFile scrub(const std::string& name);

 private:
  struct Segment {
    std::uint64_t first;
    std::uint64_t last;
    std::size_t bytes;
    bool run;
  };
  /** Runs, or a state given in their place, being merged into the buckets over several steps. */
  struct Merge {
    std::uint64_t last = 0;
    /** The parts are the whole state: no file is read. */
    bool full_state = false;
    std::size_t next_bucket = 0;
    /** Records of all the runs for each bucket, in order of their commits. */
    std::vector<std::vector<Record>> parts;
  };
  struct Leftovers;

  /** Makes what was read last. A former process may have died between a rename and the sync of its
   * folder, or that sync may have failed, after which a bare sync can succeed without effect. Each
   * folder gets a change anew, so that its sync covers all its names; a full disk gets the sync
   * alone. */
  void makeDurable(const Identity& identity);
  void republish(const std::string& folder, const std::string& name, const std::string& bytes);
  OpenedStore create(std::uint64_t instance, const std::string& loss);
  /** Whether `records/` holds more than an unfinished create() leaves. */
  bool holdsCommits();
  void moveAside(std::uint64_t instance);
  void scanNames(Leftovers& leftovers);
  void scanName(const std::string& name, Leftovers& leftovers);
  void dropCovered(Leftovers& leftovers);
  std::string loadRecords(std::map<std::string, std::string>& records);
  std::string loadBuckets(std::map<std::string, std::string>& records);
  std::string loadSegments(std::map<std::string, std::string>& records);
  void publish(const std::string& folder, const std::string& name, const std::string& bytes);
  void makeRun(std::size_t begin, std::size_t end);
  void beginMerge();
  void mergeNextBucket();
  void finishMerge();
  /** Removes a file nothing depends on; a failure is left to the next open(). */
  void removeQuietly(const std::string& path);
  RecordFile readIntact(const std::string& name);
  std::size_t bucketOf(const std::string& key) const;
  std::uint64_t bucketFloor() const;
  static std::string nameOf(const Segment& segment);
  static std::string bucketName(std::size_t bucket, std::uint64_t last);

  FileSystem& file_system_;
  const FileRecordStoreOptions options_;
  /** Sorted by range and without overlap. */
  std::vector<Segment> segments_;
  /** Last commit in each bucket's file; 0 where it has none. */
  std::vector<std::uint64_t> bucket_last_;
  std::uint64_t next_commit_ = 1;
  /** After a failed sync: what the disk holds is unknown until open(). */
  bool failed_ = true;
  std::optional<Merge> merge_;
};

}  // namespace switchsaddle::storage
