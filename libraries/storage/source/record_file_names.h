#pragma once

#include <cstdint>
#include <string>

/**
 * @file
 * Names in the data folder of a FileRecordStore.
 */

namespace switchsaddle::storage {

/** Number of the first commit, which is written without records when a folder is created. */
inline constexpr std::uint64_t FirstCommit = 1;

inline const std::string RecordsFolder = "records";
inline const std::string TemporarySuffix = ".tmp";
inline const std::string CommitSuffix = ".rec";
inline const std::string RunSuffix = ".run";
inline const std::string BucketSuffix = ".snap";
inline const std::string BucketPrefix = "bucket-";

/** A commit file, or a run merged from consecutive commit files. */
struct Segment {
  std::uint64_t first_commit;
  std::uint64_t last_commit;
  std::size_t bytes;
  bool is_run;
};

/** @return the path of a name in a folder; an empty folder means the root. */
std::string joinPath(const std::string& folder, const std::string& name);
/** @return the path of a file with records. */
std::string recordPath(const std::string& name);
std::string segmentName(const Segment& segment);
/** @return the name of the file with the state of a bucket up to a commit. */
std::string bucketName(std::size_t bucket, std::uint64_t last_commit);

}  // namespace switchsaddle::storage
