#pragma once

#include <sstream>
#include <string>

#include "switchsaddle/base/error.h"
#include "switchsaddle/wire/bounded_archive.h"

namespace switchsaddle::wire {

/** The first byte of a record: the order of bytes in its numbers, which is always the same. */
inline constexpr char LittleEndianTag = 1;

/** The fields one after the other, in the portable form that stores and registers keep. */
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
 * Reverses writeRecord(). Throws base::Error with RecordCorrupt where the bytes end early, go on
 * after the last field, claim another order of bytes, or hold what no field can; the fields are
 * then unspecified.
 */
template <class... Fields>
void readRecord(const std::string& bytes, Fields&... fields) {
  if (bytes.empty() || bytes.front() != LittleEndianTag) {
    throw base::Error(base::ResultCode::RecordCorrupt, "the record has no order of bytes");
  }
  std::istringstream stream(bytes);
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(fields...);
  } catch (const std::exception& exception) {
    throw base::Error(base::ResultCode::RecordCorrupt, exception.what());
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    throw base::Error(base::ResultCode::RecordCorrupt, "bytes follow the last field");
  }
}

}  // namespace switchsaddle::wire
