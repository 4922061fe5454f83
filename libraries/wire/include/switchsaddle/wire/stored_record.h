#pragma once

#include <sstream>
#include <string>

#include "switchsaddle/base/error.h"
#include "switchsaddle/wire/bounded_archive.h"

/**
 * @file
 * Encoding of the records that stores and registers persist.
 */

namespace switchsaddle::wire {

/** First byte of each record: the byte order of its numbers, which is always little-endian. */
inline constexpr char LittleEndianTag = 1;

/** @return the fields in order, in cereal's portable binary encoding. */
template <class... Fields>
std::string writeRecord(const Fields&... fields) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(
        stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(fields...);
  }
  return std::move(stream).str();
}

/**
 * Decodes the output of writeRecord() into the fields.
 * @throws base::Error with RecordCorrupt if the bytes are truncated, continue after the last field,
 *     announce another byte order, or contain a value that a field can't have. The fields are then
 *     unspecified.
 */
template <class... Fields>
void readRecord(const std::string& bytes, Fields&... fields) {
  if (bytes.empty() || bytes.front() != LittleEndianTag) {
    throw base::Error(base::ResultCode::RecordCorrupt,
                      "the record does not start with the little-endian byte order tag");
  }
  std::istringstream stream(bytes);
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(fields...);
  } catch (const std::exception& exception) {
    throw base::Error(base::ResultCode::RecordCorrupt, exception.what());
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    throw base::Error(base::ResultCode::RecordCorrupt, "unexpected bytes after the last field");
  }
}

}  // namespace switchsaddle::wire
