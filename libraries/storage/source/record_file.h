#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::storage {

/**
 * The content of one file of the store: the result of the commits `first` to `last`, with at most
 * one record for each key. On disk a header and a table of keys come first under one checksum; the
 * values follow. The table contains the checksum of each value, so that the keys of damaged values
 * can be reported.
 */
struct RecordFile {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  std::vector<Record> records;
};

/** The result of decoding a file. */
struct DecodedFile {
  RecordFile file;
  /** Whether the file is complete and all checksums match. */
  bool intact = false;
  /** Keys of the damaged values; empty if the table itself is damaged. */
  std::vector<std::string> damaged_keys;
};

std::string encodeRecordFile(const RecordFile& file);
DecodedFile decodeRecordFile(const std::string& bytes);

}  // namespace switchsaddle::storage
