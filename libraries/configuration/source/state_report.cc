#include "switchsaddle/configuration/state_report.h"

#include <limits>
#include <map>
#include <sstream>
#include <utility>

#include "object_reader.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::configuration {

namespace {

/** A report may contain all sessions and workers of a fleet. */
constexpr JsonLimits ReportLimits{
    .maximum_bytes = 67'108'864, .maximum_depth = 8, .maximum_values = 16'777'216};
constexpr IntegerRange AnyCount{0, std::numeric_limits<std::int64_t>::max()};

struct StateKey {
  std::string subject;
  std::string key;
  auto operator<=>(const StateKey&) const = default;
};

using StateIndex = std::map<StateKey, const StateEntry*>;

StateIndex indexState(const StateReport& report) {
  StateIndex index;
  for (const StateEntry& entry : report.entries) {
    index[{entry.subject, entry.key}] = &entry;
  }
  return index;
}

StateEntry parseStateEntry(const JsonValue& value, const std::string& path,
                           std::vector<Fault>& faults) {
  ObjectReader reader(value, path, faults);
  StateEntry entry;
  for (const char* member : {"subject", "key", "value"}) {
    reader.required(member);
  }
  entry.subject = reader.text("subject");
  entry.key = reader.text("key");
  entry.value = reader.text("value");
  entry.version = static_cast<std::uint64_t>(reader.integer("version", AnyCount, 0));
  entry.since_ms = reader.integer("since_ms", AnyCount, 0);
  reader.finish();
  return entry;
}

void parseStateEntries(const JsonValue& list, ObjectReader& reader, StateReport& report,
                       std::vector<Fault>& faults) {
  if (list.kind != JsonKind::Array) {
    reader.fault("beliefs", base::ResultCode::InvalidValue, "must be a list");
    return;
  }
  for (std::size_t index = 0; index < list.elements.size(); ++index) {
    const std::string path = "beliefs[" + std::to_string(index) + "]";
    report.entries.push_back(parseStateEntry(list.elements[index], path, faults));
  }
}

void writeStateEntry(JsonWriter& writer, const StateEntry& entry) {
  writer.beginObject();
  writer.name("subject").string(entry.subject);
  writer.name("key").string(entry.key);
  writer.name("value").string(entry.value);
  writer.name("version").unsignedInteger(entry.version);
  writer.name("since_ms").integer(entry.since_ms);
  writer.endObject();
}

void writeSideJson(JsonWriter& writer, std::string_view name,
                   const std::optional<StateEntry>& side) {
  if (side) {
    writeStateEntry(writer.name(name), *side);
  } else {
    writer.name(name).raw("null");
  }
}

std::string_view nameOf(StateDifferenceKind kind) {
  switch (kind) {
    case StateDifferenceKind::OnlyFirst:
      return "only-first";
    case StateDifferenceKind::OnlySecond:
      return "only-second";
    case StateDifferenceKind::Different:
      return "different";
  }
  return "different";
}

void writeSide(std::ostream& out, const StateReport& report,
               const std::optional<StateEntry>& side) {
  out << "    " << report.node << ": ";
  if (!side) {
    out << "(nothing)\n";
    return;
  }
  out << side->value << "  (version " << side->version << ", held for " << side->since_ms
      << " ms)\n";
}

}  // namespace

std::string renderStateReport(const StateReport& report) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("node").string(report.node);
  writer.name("now_ms").integer(report.now_ms);
  writer.name("beliefs").beginArray();
  for (const StateEntry& entry : report.entries) {
    writeStateEntry(writer, entry);
  }
  writer.endArray().endObject();
  return writer.text();
}

std::optional<StateReport> parseStateReport(const std::string& text, std::vector<Fault>& faults) {
  const std::size_t faults_before = faults.size();
  const std::optional<JsonValue> value = parseJson(text, ReportLimits, "", faults);
  if (!value) {
    return std::nullopt;
  }
  StateReport report;
  ObjectReader reader(*value, "", faults);
  report.node = reader.text("node");
  report.now_ms = reader.integer("now_ms", AnyCount, 0);
  const JsonValue* entries = reader.required("beliefs");
  reader.finish();
  if (entries != nullptr) {
    parseStateEntries(*entries, reader, report, faults);
  }
  return faults.size() == faults_before ? std::optional(std::move(report)) : std::nullopt;
}

std::vector<StateDifference> compareStates(const StateReport& first, const StateReport& second) {
  const StateIndex first_index = indexState(first);
  const StateIndex second_index = indexState(second);
  std::map<StateKey, StateDifference> differences;
  for (const auto& [key, entry] : first_index) {
    const auto other = second_index.find(key);
    if (other == second_index.end()) {
      differences[key] = {StateDifferenceKind::OnlyFirst, key.subject, key.key, *entry, {}};
    } else if (other->second->value != entry->value || other->second->version != entry->version) {
      differences[key] = {StateDifferenceKind::Different, key.subject, key.key, *entry,
                          *other->second};
    }
  }
  for (const auto& [key, entry] : second_index) {
    if (!first_index.contains(key)) {
      differences[key] = {StateDifferenceKind::OnlySecond, key.subject, key.key, {}, *entry};
    }
  }
  std::vector<StateDifference> ordered;
  for (auto& [key, difference] : differences) {
    ordered.push_back(std::move(difference));
  }
  return ordered;
}

std::string renderDifferencesJson(const StateReport& first, const StateReport& second,
                                  const std::vector<StateDifference>& differences) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("first").string(first.node);
  writer.name("second").string(second.node);
  writer.name("differences").beginArray();
  for (const StateDifference& difference : differences) {
    writer.beginObject();
    writer.name("kind").string(nameOf(difference.kind));
    writer.name("subject").string(difference.subject);
    writer.name("key").string(difference.key);
    writeSideJson(writer, "first", difference.first);
    writeSideJson(writer, "second", difference.second);
    writer.endObject();
  }
  writer.endArray().endObject();
  return writer.text();
}

std::string renderDifferences(const StateReport& first, const StateReport& second,
                              const std::vector<StateDifference>& differences) {
  std::ostringstream out;
  for (const StateDifference& difference : differences) {
    out << difference.subject << " " << difference.key << "\n";
    writeSide(out, first, difference.first);
    writeSide(out, second, difference.second);
  }
  out << differences.size() << " differences between " << first.node << " (" << first.entries.size()
      << " beliefs) and " << second.node << " (" << second.entries.size() << " beliefs)\n";
  return out.str();
}

}  // namespace switchsaddle::configuration
