#include "switchsaddle/configuration/beliefs.h"

#include <limits>
#include <map>
#include <sstream>
#include <utility>

#include "object_reader.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::configuration {

namespace {

/** A report's body may hold every prefix and worker of a fleet. */
constexpr JsonLimits ReportLimits{
    .maximum_bytes = 67'108'864, .maximum_depth = 8, .comments = false};
constexpr IntegerRange AnyCount{0, std::numeric_limits<std::int64_t>::max()};

struct BeliefKey {
  std::string subject;
  std::string key;
  auto operator<=>(const BeliefKey&) const = default;
};

using BeliefIndex = std::map<BeliefKey, const Belief*>;

BeliefIndex indexBeliefs(const BeliefReport& report) {
  BeliefIndex index;
  for (const Belief& belief : report.beliefs) {
    index[{belief.subject, belief.key}] = &belief;
  }
  return index;
}

Belief parseBelief(const JsonValue& value, const std::string& path, std::vector<Fault>& faults) {
  ObjectReader reader(value, path, faults);
  Belief belief;
  for (const char* member : {"subject", "key", "value"}) {
    reader.required(member);
  }
  belief.subject = reader.text("subject");
  belief.key = reader.text("key");
  belief.value = reader.text("value");
  belief.version = static_cast<std::uint64_t>(reader.integer("version", AnyCount, 0));
  belief.since_ms = reader.integer("since_ms", AnyCount, 0);
  reader.finish();
  return belief;
}

void writeBelief(JsonWriter& writer, const Belief& belief) {
  writer.beginObject();
  writer.name("subject").string(belief.subject);
  writer.name("key").string(belief.key);
  writer.name("value").string(belief.value);
  writer.name("version").unsignedInteger(belief.version);
  writer.name("since_ms").integer(belief.since_ms);
  writer.endObject();
}

void writeSideJson(JsonWriter& writer, std::string_view name, const std::optional<Belief>& side) {
  if (side) {
    writeBelief(writer.name(name), *side);
  } else {
    writer.name(name).raw("null");
  }
}

std::string_view nameOf(BeliefDifferenceKind kind) {
  switch (kind) {
    case BeliefDifferenceKind::OnlyFirst:
      return "only-first";
    case BeliefDifferenceKind::OnlySecond:
      return "only-second";
    case BeliefDifferenceKind::Different:
      return "different";
  }
  return "different";
}

void writeSide(std::ostream& out, const BeliefReport& report, const std::optional<Belief>& side) {
  out << "    " << report.node << ": ";
  if (!side) {
    out << "(nothing)\n";
    return;
  }
  out << side->value << "  (version " << side->version << ", held for " << side->since_ms
      << " ms)\n";
}

}  // namespace

std::string renderBeliefs(const BeliefReport& report) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("node").string(report.node);
  writer.name("now_ms").integer(report.now_ms);
  writer.name("beliefs").beginArray();
  for (const Belief& belief : report.beliefs) {
    writeBelief(writer, belief);
  }
  writer.endArray().endObject();
  return writer.text();
}

std::optional<BeliefReport> parseBeliefs(const std::string& text, std::vector<Fault>& faults) {
  const std::size_t before = faults.size();
  const std::optional<JsonValue> value = parseJson(text, ReportLimits, "", faults);
  if (!value) {
    return std::nullopt;
  }
  BeliefReport report;
  ObjectReader reader(*value, "", faults);
  report.node = reader.text("node");
  report.now_ms = reader.integer("now_ms", AnyCount, 0);
  const JsonValue* beliefs = reader.required("beliefs");
  reader.finish();
  if (beliefs != nullptr && beliefs->kind != JsonKind::Array) {
    reader.fault("beliefs", base::ResultCode::InvalidValue, "must be a list");
  } else if (beliefs != nullptr) {
    for (std::size_t index = 0; index < beliefs->elements.size(); ++index) {
      const std::string path = "beliefs[" + std::to_string(index) + "]";
      report.beliefs.push_back(parseBelief(beliefs->elements[index], path, faults));
    }
  }
  return faults.size() == before ? std::optional(std::move(report)) : std::nullopt;
}

std::vector<BeliefDifference> compareBeliefs(const BeliefReport& first,
                                             const BeliefReport& second) {
  const BeliefIndex first_index = indexBeliefs(first);
  const BeliefIndex second_index = indexBeliefs(second);
  std::map<BeliefKey, BeliefDifference> differences;
  for (const auto& [key, belief] : first_index) {
    const auto other = second_index.find(key);
    if (other == second_index.end()) {
      differences[key] = {BeliefDifferenceKind::OnlyFirst, key.subject, key.key, *belief, {}};
    } else if (other->second->value != belief->value || other->second->version != belief->version) {
      differences[key] = {BeliefDifferenceKind::Different, key.subject, key.key, *belief,
                          *other->second};
    }
  }
  for (const auto& [key, belief] : second_index) {
    if (!first_index.contains(key)) {
      differences[key] = {BeliefDifferenceKind::OnlySecond, key.subject, key.key, {}, *belief};
    }
  }
  std::vector<BeliefDifference> ordered;
  for (auto& [key, difference] : differences) {
    ordered.push_back(std::move(difference));
  }
  return ordered;
}

std::string renderDifferencesJson(const BeliefReport& first, const BeliefReport& second,
                                  const std::vector<BeliefDifference>& differences) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("first").string(first.node);
  writer.name("second").string(second.node);
  writer.name("differences").beginArray();
  for (const BeliefDifference& difference : differences) {
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

std::string renderDifferences(const BeliefReport& first, const BeliefReport& second,
                              const std::vector<BeliefDifference>& differences) {
  std::ostringstream out;
  for (const BeliefDifference& difference : differences) {
    out << difference.subject << " " << difference.key << "\n";
    writeSide(out, first, difference.first);
    writeSide(out, second, difference.second);
  }
  out << differences.size() << " differences between " << first.node << " (" << first.beliefs.size()
      << " beliefs) and " << second.node << " (" << second.beliefs.size() << " beliefs)\n";
  return out.str();
}

}  // namespace switchsaddle::configuration
