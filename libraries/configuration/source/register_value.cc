#include "switchsaddle/configuration/register_value.h"

#include <algorithm>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

/** Incremented with each change of the stored form. */
constexpr std::uint16_t RegisterFormat = 2;
/** Format of earlier releases, which is still decoded. */
constexpr std::uint16_t FormatWithoutSource = 1;
constexpr std::size_t ChecksumSize = 8;

std::string checksumOf(std::string_view body) {
  std::uint64_t hash = base::hashBytes(body);
  std::string bytes;
  for (std::size_t index = 0; index < ChecksumSize; ++index) {
    bytes.push_back(static_cast<char>(hash & 0xffU));
    hash >>= 8U;
  }
  return bytes;
}

std::vector<wire::ConfigurationEntry> entriesOf(const Document& document) {
  std::vector<wire::ConfigurationEntry> entries;
  entries.reserve(document.entries.size());
  for (const auto& [path, entry] : document.entries) {
    entries.push_back(entry);
  }
  return entries;
}

/** @throws base::Error with RecordCorrupt. */
void verifyChecksum(const std::string& bytes) {
  const std::string_view all(bytes);
  if (all.size() < ChecksumSize ||
      checksumOf(all.substr(ChecksumSize)) != all.substr(0, ChecksumSize)) {
    throw base::Error(ResultCode::RecordCorrupt,
                      "the stored configuration does not match its checksum");
  }
}

/** First fields of each record. */
struct RecordHead {
  std::uint16_t format = 0;
  std::uint64_t version = 0;
};

/** Size of the archive's byte order tag, the format and the version. */
constexpr std::size_t RecordHeadBytes = 1 + sizeof(std::uint16_t) + sizeof(std::uint64_t);

/** @throws base::Error with RecordCorrupt if the format is unknown. */
RecordHead readHead(const std::string& body) {
  RecordHead head;
  try {
    std::istringstream stream(body.substr(0, RecordHeadBytes));
    cereal::PortableBinaryInputArchive archive(stream);
    archive(head.format, head.version);
  } catch (const std::exception& exception) {
    throw base::Error(ResultCode::RecordCorrupt, exception.what());
  }
  if (head.format != RegisterFormat && head.format != FormatWithoutSource) {
    throw base::Error(
        ResultCode::RecordCorrupt,
        "the stored configuration has the unknown format " + std::to_string(head.format));
  }
  return head;
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, RecordedChange& recorded) {
  archive(recorded.change_id, recorded.fingerprint, recorded.code, recorded.version);
}

template <class Archive>
void serialize(Archive& archive, HistoryEntry& entry) {
  archive(entry.version, entry.change_id, entry.set, entry.removed);
}

template <class Archive>
void serialize(Archive& archive, SourceDocument& source) {
  archive(source.revision, source.text);
}

const RecordedChange* RegisterValue::findRecorded(const std::string& change_id) const {
  const auto found = std::ranges::find(recorded, change_id, &RecordedChange::change_id);
  return found == recorded.end() ? nullptr : &*found;
}

std::string encodeRegisterValue(const RegisterValue& value) {
  const std::string body =
      wire::writeRecord(RegisterFormat, value.document.version, entriesOf(value.document),
                        value.recorded, value.history, value.source);
  return checksumOf(body) + body;
}

RegisterValue decodeRegisterValue(const std::string& bytes) {
  RegisterValue value;
  if (bytes.empty()) {
    return value;
  }
  verifyChecksum(bytes);
  const std::string body = bytes.substr(ChecksumSize);
  std::uint16_t format = readHead(body).format;
  std::vector<wire::ConfigurationEntry> entries;
  if (format == FormatWithoutSource) {
    wire::readRecord(body, format, value.document.version, entries, value.recorded, value.history);
  } else {
    wire::readRecord(body, format, value.document.version, entries, value.recorded, value.history,
                     value.source);
  }
  for (wire::ConfigurationEntry& entry : entries) {
    std::string path = entry.path;
    value.document.entries.emplace(std::move(path), std::move(entry));
  }
  return value;
}

std::uint64_t decodeRegisterVersion(const std::string& bytes) {
  if (bytes.empty()) {
    return 0;
  }
  verifyChecksum(bytes);
  return readHead(bytes.substr(ChecksumSize, RecordHeadBytes)).version;
}

}  // namespace switchsaddle::configuration
