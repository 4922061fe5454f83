#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <charconv>
#include <cmath>
#include <utility>

#include "json_members.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::configuration {

namespace {

namespace json = boost::json;

/** All integers below this are exactly representable as double. */
constexpr double ExactIntegerBound = 9'007'199'254'740'992.0;

JsonValue numberValue(double number) {
  JsonValue value;
  const bool is_integer = std::trunc(number) == number && std::abs(number) < ExactIntegerBound;
  value.kind = is_integer ? JsonKind::Integer : JsonKind::Number;
  value.integer = is_integer ? static_cast<std::int64_t>(number) : 0;
  value.number = number;
  return value;
}

/**
 * Handler of Boost.JSON's parser that builds a JsonValue. Boost.JSON's own values drop duplicate
 * keys. The parser requires the names of the constants and of the on_ functions.
 */
class TreeBuilder {
 public:
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) { return open(JsonKind::Object); }
  bool on_object_end(std::size_t, json::error_code&) { return close(); }
  bool on_array_begin(json::error_code&) { return open(JsonKind::Array); }
  bool on_array_end(std::size_t, json::error_code&) { return close(); }
  bool on_key_part(json::string_view text, std::size_t, json::error_code&) { return append(text); }
  bool on_key(json::string_view text, std::size_t, json::error_code&) {
    append(text);
    stack_.back().names.push_back(std::move(partial_));
    partial_.clear();
    return true;
  }
  bool on_string_part(json::string_view text, std::size_t, json::error_code&) {
    return append(text);
  }
  bool on_string(json::string_view text, std::size_t, json::error_code&) {
    append(text);
    JsonValue value;
    value.kind = JsonKind::String;
    value.text = std::move(partial_);
    partial_.clear();
    return add(std::move(value));
  }
  bool on_number_part(json::string_view text, json::error_code&) { return append(text); }
  bool on_int64(std::int64_t number, json::string_view, json::error_code&) {
    partial_.clear();
    JsonValue value;
    value.kind = JsonKind::Integer;
    value.integer = number;
    value.number = static_cast<double>(number);
    return add(std::move(value));
  }
  bool on_uint64(std::uint64_t number, json::string_view, json::error_code&) {
    partial_.clear();
    return add(numberValue(static_cast<double>(number)));
  }
  bool on_double(double, json::string_view text, json::error_code& error) {
    append(text);
    // The parser's own conversion may be off in the last bit.
    double number = 0;
    const char* last = partial_.data() + partial_.size();
    const auto [end, result] = std::from_chars(partial_.data(), last, number);
    partial_.clear();
    if (result != std::errc{} || end != last) {
      error = json::error::exponent_overflow;
      return false;
    }
    return add(numberValue(number));
  }
  bool on_bool(bool boolean, json::error_code&) {
    JsonValue value;
    value.kind = JsonKind::Boolean;
    value.boolean = boolean;
    return add(std::move(value));
  }
  bool on_null(json::error_code&) { return add(JsonValue{}); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }

  /** The complete document once the parser has succeeded. */
  JsonValue root;

 private:
  bool append(json::string_view text) {
    partial_.append(text.data(), text.size());
    return true;
  }
  bool open(JsonKind kind) {
    stack_.emplace_back().kind = kind;
    return true;
  }
  bool close() {
    JsonValue value = std::move(stack_.back());
    stack_.pop_back();
    return add(std::move(value));
  }
  bool add(JsonValue value) {
    if (stack_.empty()) {
      root = std::move(value);
    } else {
      stack_.back().elements.push_back(std::move(value));
    }
    return true;
  }

  /** Open objects and arrays, outermost first. */
  std::vector<JsonValue> stack_;
  /** Text of the current string or number that has been received so far. */
  std::string partial_;
};

std::string memberPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

/** Appends a fault for each duplicate key of the value and its descendants. */
void findDuplicateKeys(const JsonValue& value, const std::string& path,
                       std::vector<Fault>& faults) {
  const std::vector<std::size_t> order = sortedMembers(value);
  for (std::size_t index = 1; index < order.size(); ++index) {
    const std::string& name = value.names[order[index]];
    if (name == value.names[order[index - 1]]) {
      faults.push_back({memberPath(path, name), base::ResultCode::InvalidValue,
                        "the key occurs more than once in the object"});
    }
  }
  for (std::size_t index = 0; index < value.elements.size(); ++index) {
    const bool is_object = value.kind == JsonKind::Object;
    const std::string element_path =
        is_object ? memberPath(path, value.names[index]) : path + "[" + std::to_string(index) + "]";
    findDuplicateKeys(value.elements[index], element_path, faults);
  }
}

using Parser = json::basic_parser<TreeBuilder>;

/** @return the error, with the number of bytes that were read before it. */
std::pair<json::error_code, std::size_t> readTree(Parser& parser, std::string_view text) {
  json::error_code error;
  const std::size_t consumed = parser.write_some(false, text.data(), text.size(), error);
  if (!error && consumed < text.size()) {
    error = json::error::extra_data;
  }
  return {error, consumed};
}

json::parse_options optionsOf(const JsonLimits& limits) {
  json::parse_options options;
  options.max_depth = limits.maximum_depth;
  options.allow_comments = limits.comments;
  return options;
}

}  // namespace

bool isCutJson(std::string_view text, const JsonLimits& limits) {
  Parser parser(optionsOf(limits));
  return readTree(parser, text).first == json::error::incomplete;
}

bool hasMoreValues(std::string_view text, std::size_t maximum) {
  // Every value but the first follows a comma or opens an object or array.
  std::size_t values = 1;
  bool in_string = false;
  bool is_escaped = false;
  for (const char character : text) {
    if (in_string) {
      in_string = is_escaped || character != '"';
      is_escaped = !is_escaped && character == '\\';
      continue;
    }
    in_string = character == '"';
    const bool begins_value = character == ',' || character == '[' || character == '{';
    values += begins_value ? 1 : 0;
  }
  return values > maximum;
}

std::optional<JsonValue> parseJson(std::string_view text, const JsonLimits& limits,
                                   const std::string& path, std::vector<Fault>& faults) {
  if (text.size() > limits.maximum_bytes) {
    faults.push_back({path, base::ResultCode::BodyTooLarge,
                      "must have at most " + std::to_string(limits.maximum_bytes) + " bytes"});
    return std::nullopt;
  }
  if (!limits.comments && hasMoreValues(text, limits.maximum_values)) {
    faults.push_back({path, base::ResultCode::BodyTooLarge,
                      "must have at most " + std::to_string(limits.maximum_values) + " values"});
    return std::nullopt;
  }
  Parser parser(optionsOf(limits));
  const auto [error, consumed] = readTree(parser, text);
  if (error) {
    faults.push_back({path, base::ResultCode::MalformedJson,
                      error.message() + " at byte " + std::to_string(consumed)});
    return std::nullopt;
  }
  const std::size_t faults_before = faults.size();
  findDuplicateKeys(parser.handler().root, path, faults);
  if (faults.size() > faults_before) {
    return std::nullopt;
  }
  return std::move(parser.handler().root);
}

std::string canonicalText(const std::string& json) {
  std::vector<Fault> faults;
  const std::optional<JsonValue> value = parseJson(json, {}, "", faults);
  return value ? value->canonical() : json;
}

}  // namespace switchsaddle::configuration
