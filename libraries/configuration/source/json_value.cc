#include "switchsaddle/configuration/json_value.h"

#include <algorithm>
#include <numeric>

#include "json_members.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::configuration {

namespace {

std::string canonicalNumber(double number) {
  JsonWriter writer;
  writer.number(number);
  return writer.text();
}

std::string canonicalObject(const JsonValue& value) {
  JsonWriter writer;
  writer.beginObject();
  for (const std::size_t index : sortedMembers(value)) {
    writer.name(value.names[index]).raw(value.elements[index].canonical());
  }
  writer.endObject();
  return writer.text();
}

std::string canonicalArray(const JsonValue& value) {
  JsonWriter writer;
  writer.beginArray();
  for (const JsonValue& element : value.elements) {
    writer.raw(element.canonical());
  }
  writer.endArray();
  return writer.text();
}

}  // namespace

std::vector<std::size_t> sortedMembers(const JsonValue& object) {
  std::vector<std::size_t> order(object.names.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return object.names[left] < object.names[right];
  });
  return order;
}

const JsonValue* JsonValue::find(std::string_view name) const {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? nullptr
                              : &elements[static_cast<std::size_t>(found - names.begin())];
}

std::string JsonValue::textOf(std::string_view name) const {
  const JsonValue* member = find(name);
  return member == nullptr ? std::string{} : member->text;
}

std::int64_t JsonValue::integerOf(std::string_view name) const {
  const JsonValue* member = find(name);
  return member == nullptr ? 0 : member->integer;
}

std::string JsonValue::canonical() const {
  switch (kind) {
    case JsonKind::Null:
      return "null";
    case JsonKind::Boolean:
      return boolean ? "true" : "false";
    case JsonKind::Integer:
      return std::to_string(integer);
    case JsonKind::Number:
      return canonicalNumber(number);
    case JsonKind::String:
      return jsonString(text);
    case JsonKind::Array:
      return canonicalArray(*this);
    case JsonKind::Object:
      return canonicalObject(*this);
  }
  return "null";
}

}  // namespace switchsaddle::configuration
