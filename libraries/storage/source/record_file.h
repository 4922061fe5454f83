#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::storage {

/**
 * The content of one file of the store: what the commits `first` to `last` left, at most one record
 * a key. On disk a header and a table of keys come first under one checksum; the values follow,
 * each with its checksum in the table, so that damage to a value still tells its key.
 */
struct RecordFile {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  std::vector<Record> records;
};

/** What reading a file back found. */
struct DecodedFile {
  RecordFile file;
  /** False where any byte is not as written. */
  bool intact = false;
  /** Keys of the values which fail; empty too where the table itself cannot be read. */
  std::vector<std::string> damaged_keys;
};

std::string encodeRecordFile(const RecordFile& file);
DecodedFile decodeRecordFile(const std::string& bytes);

}  // namespace switchsaddle::storage
