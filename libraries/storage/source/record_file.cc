#include "record_file.h"

#include <string_view>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::storage {

namespace {

constexpr std::uint64_t Magic = 0x3152444c53575353ULL;
constexpr std::size_t IntegerBytes = 8;
/** Magic, first, last, count, table length. */
constexpr std::size_t HeaderBytes = 5 * IntegerBytes;

void appendInteger(std::string& bytes, std::uint64_t value) {
  for (std::size_t index = 0; index < IntegerBytes; ++index) {
    bytes.push_back(static_cast<char>(value >> (8 * index)));
  }
}

/** Reads integers and strings in order. A read beyond the end fails; from then on every read
 * returns zero or an empty string. */
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t integer() {
    const std::string_view encoded = text(IntegerBytes);
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < encoded.size(); ++index) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(encoded[index]))
               << (8 * index);
    }
    return value;
  }
  std::string_view text(std::uint64_t length) {
    if (failed_ || length > bytes_.size()) {
      failed_ = true;
      return {};
    }
    const std::string_view result = bytes_.substr(0, length);
    bytes_.remove_prefix(length);
    return result;
  }
  bool failed() const { return failed_; }
  bool atEnd() const { return bytes_.empty(); }

 private:
  std::string_view bytes_;
  bool failed_ = false;
};

/** One record in the table of a file. */
struct TableEntry {
  std::string key;
  bool removed;
  std::uint64_t length;
  std::uint64_t checksum;
};

std::vector<TableEntry> readTable(std::string_view table, std::uint64_t count) {
  Reader reader(table);
  std::vector<TableEntry> entries;
  for (std::uint64_t index = 0; index < count && !reader.failed(); ++index) {
    TableEntry entry;
    entry.key = reader.text(reader.integer());
    entry.removed = reader.integer() != 0;
    entry.length = reader.integer();
    entry.checksum = reader.integer();
    entries.push_back(std::move(entry));
  }
  return entries;
}

}  // namespace

std::string encodeRecordFile(const RecordFile& file) {
  std::string table;
  std::string values;
  for (const Record& record : file.records) {
    appendInteger(table, record.key.size());
    table += record.key;
    appendInteger(table, record.removed ? 1 : 0);
    appendInteger(table, record.bytes.size());
    appendInteger(table, base::hashBytes(record.bytes));
    values += record.bytes;
  }
  std::string bytes;
  bytes.reserve(HeaderBytes + table.size() + IntegerBytes + values.size());
  appendInteger(bytes, Magic);
  appendInteger(bytes, file.first);
  appendInteger(bytes, file.last);
  appendInteger(bytes, file.records.size());
  appendInteger(bytes, table.size());
  bytes += table;
  appendInteger(bytes, base::hashBytes(bytes));
  bytes += values;
  return bytes;
}

DecodedFile decodeRecordFile(const std::string& bytes) {
  DecodedFile decoded;
  Reader reader(bytes);
  const bool magic_matches = reader.integer() == Magic;
  decoded.file.first = reader.integer();
  decoded.file.last = reader.integer();
  const std::uint64_t count = reader.integer();
  const std::uint64_t table_length = reader.integer();
  const std::string_view table = reader.text(table_length);
  const std::uint64_t checksum = reader.integer();
  if (!magic_matches || reader.failed()) {
    return decoded;
  }
  const std::string_view covered(bytes.data(), HeaderBytes + table.size());
  if (checksum != base::hashBytes(covered)) {
    return decoded;
  }
  for (TableEntry& entry : readTable(table, count)) {
    const std::string_view value = reader.text(entry.length);
    if (reader.failed() || base::hashBytes(value) != entry.checksum) {
      decoded.damaged_keys.push_back(entry.key);
      continue;
    }
    decoded.file.records.push_back(Record{std::move(entry.key), std::string(value), entry.removed});
  }
  decoded.intact = decoded.damaged_keys.empty() && reader.atEnd();
  return decoded;
}

}  // namespace switchsaddle::storage
