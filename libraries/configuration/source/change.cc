#include <algorithm>
#include <set>

#include "object_reader.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/maintenance.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

constexpr IntegerRange VersionRange{0, std::numeric_limits<std::int64_t>::max()};
constexpr std::size_t MaximumChangeIdLength = 128;
constexpr std::size_t MaximumPathLength = 1'024;

std::vector<EntryChange> entriesOf(const JsonValue& object) {
  std::vector<EntryChange> entries;
  for (std::size_t index = 0; index < object.names.size(); ++index) {
    entries.push_back({object.names[index], object.elements[index].canonical()});
  }
  return entries;
}

/** Reads the entries of an object member into `set`; another type is a fault. */
void readEntries(ObjectReader& reader, const std::string& member, std::vector<EntryChange>& set) {
  const JsonValue* value = reader.optional(member);
  if (value == nullptr) {
    return;
  }
  if (value->kind != JsonKind::Object) {
    reader.fault(member, ResultCode::InvalidValue, "must be an object that maps paths to entries");
    return;
  }
  set = entriesOf(*value);
}

void checkChangeId(const std::string& change_id, std::vector<Fault>& faults) {
  const auto is_printable = [](char character) { return character > ' ' && character < '\x7f'; };
  if (change_id.empty()) {
    faults.push_back({"change_id", ResultCode::MissingField, "is missing"});
  } else if (change_id.size() > MaximumChangeIdLength ||
             !std::ranges::all_of(change_id, is_printable)) {
    faults.push_back({"change_id", ResultCode::InvalidValue,
                      "must be at most 128 printable characters without spaces"});
  }
}

bool isLive(const Document& document, const std::string& path) {
  const auto entry = document.entries.find(path);
  return entry != document.entries.end() && !entry->second.removed;
}

void setEntry(Document& document, const EntryChange& change) {
  std::string json = canonicalText(change.json);
  wire::ConfigurationEntry& entry = document.entries[change.path];
  const bool is_unchanged = entry.version > 0 && !entry.removed && entry.json == json;
  if (is_unchanged) {
    // Keeping the version keeps deltas small.
    return;
  }
  entry = {change.path, std::move(json), document.version, false};
}

void removeEntry(Document& document, const std::string& path) {
  if (isLive(document, path)) {
    document.entries[path] = {path, "", document.version, true};
  }
}

/**
 * @return whether the entry is an operator's order. Orders are not part of configuration files and
 *     remain until another order ends them.
 */
bool isOrder(const std::string& path) {
  return path.starts_with(MaintenancePrefix);
}

/** Removes all entries but the retained ones and orders. */
void removeAllBut(Document& document, const std::vector<EntryChange>& retained) {
  std::set<std::string> retained_paths;
  for (const EntryChange& entry : retained) {
    retained_paths.insert(entry.path);
  }
  for (auto& [path, entry] : document.entries) {
    if (!retained_paths.contains(path) && !isOrder(path)) {
      removeEntry(document, path);
    }
  }
}

/** Reports a `document` combined with `set` or `remove`, and a change with none of the three. */
void checkMembers(ObjectReader& reader) {
  const bool has_edits = reader.has("set") || reader.has("remove");
  if (reader.has("document") && has_edits) {
    reader.fault("document", ResultCode::InvalidValue, "must not be combined with set or remove");
  }
  if (!reader.has("document") && !has_edits) {
    reader.fault("set", ResultCode::MissingField, "one of set, remove and document is required");
  }
}

/** Reports a path that is too long or was added to `paths` before. */
void checkPath(const std::string& path, std::set<std::string>& paths, std::vector<Fault>& faults) {
  if (path.size() > MaximumPathLength) {
    faults.push_back({path.substr(0, MaximumPathLength), ResultCode::UnknownPath,
                      "must have at most 1024 bytes"});
  }
  if (!paths.insert(path).second) {
    faults.push_back({path, ResultCode::InvalidValue, "occurs more than once in the change"});
  }
}

}  // namespace

std::uint64_t Change::fingerprint() const {
  std::uint64_t set_sum = 0;
  for (const EntryChange& entry : set) {
    set_sum += base::combineHashes(base::hashBytes(entry.path),
                                   base::hashBytes(canonicalText(entry.json)));
  }
  std::uint64_t remove_sum = 0;
  for (const std::string& path : remove) {
    remove_sum += base::hashBytes(path);
  }
  const std::uint64_t entries = base::combineHashes(set_sum, remove_sum);
  return base::combineHashes(base::combineHashes(base_version, replace_all ? 1 : 0), entries);
}

Change parseChange(const std::string& body, std::vector<Fault>& faults) {
  Change change;
  const std::optional<JsonValue> value = parseJson(body, {}, "", faults);
  if (!value) {
    return change;
  }
  ObjectReader reader(*value, "", faults);
  change.change_id = reader.text("change_id");
  checkChangeId(change.change_id, faults);
  reader.required("base_version");
  change.base_version = static_cast<std::uint64_t>(reader.integer("base_version", VersionRange, 0));
  change.replace_all = reader.has("document");
  checkMembers(reader);
  readEntries(reader, "document", change.set);
  if (!change.replace_all) {
    readEntries(reader, "set", change.set);
  }
  change.remove = reader.texts("remove");
  reader.optional("set");
  reader.finish();
  return change;
}

Document applyChange(const Document& document, const Change& change) {
  Document next = document;
  next.version = document.version + 1;
  if (change.replace_all) {
    removeAllBut(next, change.set);
  }
  for (const std::string& path : change.remove) {
    removeEntry(next, path);
  }
  for (const EntryChange& entry : change.set) {
    setEntry(next, entry);
  }
  return next;
}

std::vector<Fault> checkChange(const Document& document, const Change& change) {
  std::vector<Fault> faults;
  checkChangeId(change.change_id, faults);
  std::set<std::string> paths;
  for (const EntryChange& entry : change.set) {
    checkPath(entry.path, paths, faults);
  }
  for (const std::string& path : change.remove) {
    checkPath(path, paths, faults);
    if (!isLive(document, path)) {
      faults.push_back(
          {path, ResultCode::UnknownPath, "there is no entry with this path to remove"});
    }
  }
  return faults;
}

Document parseConfigurationFile(const std::string& text, std::vector<Fault>& faults) {
  constexpr JsonLimits FileLimits{
      .maximum_bytes = 4'194'304, .maximum_depth = 16, .comments = true};
  Document document;
  document.version = 1;
  const std::optional<JsonValue> value = parseJson(text, FileLimits, "", faults);
  if (!value) {
    return document;
  }
  if (value->kind != JsonKind::Object) {
    faults.push_back(
        {"", ResultCode::InvalidValue, "must be an object that maps paths to entries"});
    return document;
  }
  for (EntryChange& entry : entriesOf(*value)) {
    document.entries[entry.path] = {entry.path, std::move(entry.json), document.version, false};
  }
  return document;
}

}  // namespace switchsaddle::configuration
