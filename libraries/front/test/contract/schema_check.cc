#include "schema_check.h"

#include <algorithm>
#include <regex>
#include <set>
#include <stdexcept>

namespace switchsaddle::front::contract {

namespace {

using configuration::JsonKind;
using configuration::JsonValue;

const std::set<std::string> SupportedKeywords{
    "type",      "required",  "properties", "additionalProperties",
    "items",     "enum",      "pattern",    "$ref",
    "minLength", "maxLength", "minimum",    "minItems",
    "format",    "default",   "description"};

bool hasType(const std::string& type, const JsonValue& value) {
  switch (value.kind) {
    case JsonKind::Object:
      return type == "object";
    case JsonKind::Array:
      return type == "array";
    case JsonKind::String:
      return type == "string";
    case JsonKind::Boolean:
      return type == "boolean";
    case JsonKind::Integer:
      return type == "integer" || type == "number";
    case JsonKind::Number:
      return type == "number";
    case JsonKind::Null:
      return false;
  }
  return false;
}

void checkKeywords(const YAML::Node& schema, const std::string& path) {
  for (const auto& member : schema) {
    const auto keyword = member.first.as<std::string>();
    if (!SupportedKeywords.contains(keyword)) {
      throw std::logic_error("the schema at " + path + " has the unsupported keyword " + keyword);
    }
  }
}

void checkString(const YAML::Node& schema, const JsonValue& value, const std::string& path,
                 std::vector<std::string>& found) {
  if (schema["pattern"]) {
    const std::regex pattern(schema["pattern"].as<std::string>(), std::regex::extended);
    if (!std::regex_match(value.text, pattern)) {
      found.push_back(path + ": '" + value.text + "' does not match the pattern");
    }
  }
  const std::size_t length = value.text.size();
  if (schema["minLength"] && length < schema["minLength"].as<std::size_t>()) {
    found.push_back(path + ": too short");
  }
  if (schema["maxLength"] && length > schema["maxLength"].as<std::size_t>()) {
    found.push_back(path + ": too long");
  }
}

void checkEnum(const YAML::Node& schema, const JsonValue& value, const std::string& path,
               std::vector<std::string>& found) {
  const YAML::Node values = schema["enum"];
  if (!values) {
    return;
  }
  const bool listed = std::any_of(values.begin(), values.end(), [&](const YAML::Node& candidate) {
    return candidate.as<std::string>() == value.text;
  });
  if (!listed) {
    found.push_back(path + ": '" + value.text + "' is not one of the enum values");
  }
}

}  // namespace

YAML::Node SchemaCheck::resolve(const YAML::Node& node) const {
  if (!node.IsMap() || !node["$ref"]) {
    return node;
  }
  const auto reference = node["$ref"].as<std::string>();
  YAML::Node found = YAML::Clone(document_);
  std::size_t from = reference.find('/') + 1;
  while (from <= reference.size()) {
    const std::size_t end = std::min(reference.find('/', from), reference.size());
    found.reset(found[reference.substr(from, end - from)]);
    from = end + 1;
  }
  if (!found.IsDefined()) {
    throw std::logic_error("unresolved reference " + reference);
  }
  return resolve(found);
}

std::vector<std::string> SchemaCheck::violations(const YAML::Node& schema,
                                                 const JsonValue& value) const {
  Violations found;
  check(schema, value, "$", found);
  return found;
}

void SchemaCheck::check(const YAML::Node& unresolved, const JsonValue& value,
                        const std::string& path, Violations& found) const {
  const YAML::Node schema = resolve(unresolved);
  checkKeywords(schema, path);
  if (schema["type"] && !hasType(schema["type"].as<std::string>(), value)) {
    found.push_back(path + ": is not of type " + schema["type"].as<std::string>());
    return;
  }
  checkEnum(schema, value, path, found);
  if (schema["minimum"] && value.number < schema["minimum"].as<double>()) {
    found.push_back(path + ": below the minimum");
  }
  if (value.kind == JsonKind::String) {
    checkString(schema, value, path, found);
  } else if (value.kind == JsonKind::Object) {
    checkObject(schema, value, path, found);
  } else if (value.kind == JsonKind::Array) {
    checkArray(schema, value, path, found);
  }
}

void SchemaCheck::checkObject(const YAML::Node& schema, const JsonValue& value,
                              const std::string& path, Violations& found) const {
  for (const YAML::Node& name : schema["required"]) {
    if (value.find(name.as<std::string>()) == nullptr) {
      found.push_back(path + ": lacks the required member " + name.as<std::string>());
    }
  }
  const YAML::Node properties = schema["properties"];
  const bool is_closed =
      schema["additionalProperties"] && !schema["additionalProperties"].as<bool>();
  for (std::size_t index = 0; index < value.names.size(); ++index) {
    const std::string& name = value.names[index];
    const YAML::Node property = properties ? properties[name] : YAML::Node(YAML::NodeType::Null);
    if (property.IsDefined() && !property.IsNull()) {
      check(property, value.elements[index], path + "." + name, found);
    } else if (is_closed) {
      found.push_back(path + ": has the unknown member " + name);
    }
  }
}

void SchemaCheck::checkArray(const YAML::Node& schema, const JsonValue& value,
                             const std::string& path, Violations& found) const {
  if (schema["minItems"] && value.elements.size() < schema["minItems"].as<std::size_t>()) {
    found.push_back(path + ": too few items");
  }
  for (std::size_t index = 0; schema["items"] && index < value.elements.size(); ++index) {
    check(schema["items"], value.elements[index], path + "[" + std::to_string(index) + "]", found);
  }
}

}  // namespace switchsaddle::front::contract
