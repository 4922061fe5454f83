#include "switchsaddle/configuration/register_value.h"

#include <algorithm>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

/** Bumped with every change of the stored form. */
constexpr std::uint16_t RegisterFormat = 2;
/** Written by earlier releases, still read. */
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

template <class Element>
void keepNewest(std::vector<Element>& elements, std::size_t maximum) {
  if (elements.size() > maximum) {
    elements.erase(elements.begin(), elements.end() - static_cast<std::ptrdiff_t>(maximum));
  }
}

void record(RegisterValue& value, const Change& change, ResultCode code, std::uint64_t version) {
  value.recorded.push_back({change.change_id, change.fingerprint(), code, version});
  keepNewest(value.recorded, MaximumRecordedChanges);
}

/** The history line of a change: what it set and removed in effect. */
HistoryLine describeChange(const Document& next, const Change& change) {
  HistoryLine line;
  line.version = next.version;
  line.change_id = change.change_id;
  for (const auto& [path, entry] : next.entries) {
    if (entry.version == next.version) {
      (entry.removed ? line.removed : line.set).push_back(path);
    }
  }
  return line;
}

ChangeDecision repeatRecorded(const RegisterValue& present, const Change& change,
                              const RecordedChange& recorded) {
  ChangeDecision decision;
  decision.next = present;
  if (recorded.fingerprint != change.fingerprint()) {
    decision.code = ResultCode::ChangeIdReused;
    decision.version = present.document.version;
    return decision;
  }
  decision.code = recorded.code;
  decision.version = recorded.version;
  decision.repeated = true;
  return decision;
}

ChangeDecision refuseInvalid(const RegisterValue& present, std::vector<Fault> faults) {
  ChangeDecision decision;
  decision.code = ResultCode::ConfigurationInvalid;
  decision.version = present.document.version;
  decision.faults = std::move(faults);
  decision.next = present;
  return decision;
}

ChangeDecision refuseConflict(const RegisterValue& present, const Change& change) {
  ChangeDecision decision;
  decision.code = ResultCode::ConfigurationConflict;
  decision.version = present.document.version;
  decision.writes = true;
  decision.next = present;
  record(decision.next, change, decision.code, decision.version);
  return decision;
}

/** Throws base::Error with RecordCorrupt. */
void verifyChecksum(const std::string& bytes) {
  const std::string_view all(bytes);
  if (all.size() < ChecksumSize ||
      checksumOf(all.substr(ChecksumSize)) != all.substr(0, ChecksumSize)) {
    throw base::Error(ResultCode::RecordCorrupt, "the configuration fails its checksum");
  }
}

/** What every record begins with. */
struct RecordHead {
  std::uint16_t format = 0;
  std::uint64_t version = 0;
};

/** The archive's mark of its byte order, the format and the version. */
constexpr std::size_t RecordHeadBytes = 1 + sizeof(std::uint16_t) + sizeof(std::uint64_t);

/** Throws base::Error with RecordCorrupt where the format is not known. */
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
    throw base::Error(ResultCode::RecordCorrupt, "the configuration is of another format");
  }
  return head;
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, RecordedChange& recorded) {
  archive(recorded.change_id, recorded.fingerprint, recorded.code, recorded.version);
}

template <class Archive>
void serialize(Archive& archive, HistoryLine& line) {
  archive(line.version, line.change_id, line.set, line.removed);
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

ChangeDecision commitChange(const RegisterValue& present, const Change& change, Document next) {
  ChangeDecision decision;
  decision.version = next.version;
  decision.writes = true;
  decision.next = present;
  decision.next.document = std::move(next);
  decision.next.history.push_back(describeChange(decision.next.document, change));
  keepNewest(decision.next.history, MaximumHistoryLines);
  record(decision.next, change, decision.code, decision.version);
  return decision;
}

ChangeDecision decideChange(const RegisterValue& present, const Change& change) {
  if (const RecordedChange* recorded = present.findRecorded(change.change_id)) {
    return repeatRecorded(present, change, *recorded);
  }
  const bool is_on_any_base = change.base_version == AnyBaseVersion;
  std::vector<Fault> faults = checkChange(present.document, change);
  const bool has_id = !change.change_id.empty();
  if (has_id && !is_on_any_base && change.base_version != present.document.version) {
    return refuseConflict(present, change);
  }
  Document next = applyChange(present.document, change);
  const std::vector<Fault> content_faults = checkDocument(next);
  faults.insert(faults.end(), content_faults.begin(), content_faults.end());
  if (!faults.empty()) {
    return refuseInvalid(present, std::move(faults));
  }
  return commitChange(present, change, std::move(next));
}

}  // namespace switchsaddle::configuration
