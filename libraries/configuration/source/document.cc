#include "switchsaddle/configuration/document.h"

#include "parsed_configuration.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::configuration {

namespace {

std::uint64_t hashEntry(const wire::ConfigurationEntry& entry) {
  std::uint64_t hash = base::hashBytes(entry.path);
  hash = base::combineHashes(hash, base::hashBytes(entry.json));
  return base::combineHashes(hash, entry.version * 2 + (entry.removed ? 1 : 0));
}

}  // namespace

std::uint64_t Document::digest() const {
  // A sum is independent of the order of the entries.
  std::uint64_t sum = 0;
  for (const auto& [path, entry] : entries) {
    sum += hashEntry(entry);
  }
  return base::combineHashes(base::combineHashes(version, entries.size()), sum);
}

wire::ConfigurationDelta Document::deltaSince(std::uint64_t since) const {
  wire::ConfigurationDelta delta;
  delta.from_version = since;
  delta.to_version = version;
  delta.digest = digest();
  for (const auto& [path, entry] : entries) {
    if (entry.version > since) {
      delta.entries.push_back(entry);
    }
  }
  return delta;
}

bool Document::apply(const wire::ConfigurationDelta& delta) {
  if (delta.from_version > version || delta.to_version <= version) {
    return false;
  }
  Document next;
  next.version = delta.to_version;
  if (delta.from_version > 0) {
    next.entries = entries;
  }
  for (const wire::ConfigurationEntry& entry : delta.entries) {
    next.entries[entry.path] = entry;
  }
  if (next.digest() != delta.digest) {
    return false;
  }
  *this = std::move(next);
  return true;
}

std::string Document::toJson() const {
  JsonWriter writer;
  writer.beginObject();
  for (const auto& [path, entry] : entries) {
    if (!entry.removed) {
      writer.name(path).raw(entry.json);
    }
  }
  writer.endObject();
  return writer.text();
}

std::vector<Fault> checkDocument(const Document& document) {
  std::vector<Fault> faults;
  parseConfiguration(document, faults);
  return faults;
}

}  // namespace switchsaddle::configuration
