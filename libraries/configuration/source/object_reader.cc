#include "object_reader.h"

#include <algorithm>

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

constexpr std::size_t MaximumNameLength = 64;
constexpr std::size_t MaximumModelNameLength = 128;
constexpr std::size_t Sha256Length = 64;

bool isLowerCaseLetter(char character) {
  return character >= 'a' && character <= 'z';
}

bool isDigit(char character) {
  return character >= '0' && character <= '9';
}

bool isNameCharacter(char character) {
  return isLowerCaseLetter(character) || isDigit(character) || character == '.' ||
         character == '_' || character == '-';
}

bool isModelNameCharacter(char character) {
  const bool is_upper_case = character >= 'A' && character <= 'Z';
  return is_upper_case || isNameCharacter(character) || character == ':' || character == '/';
}

bool isHexadecimal(char character) {
  return isDigit(character) || (character >= 'a' && character <= 'f');
}

bool hasLength(std::string_view text, std::size_t maximum) {
  return !text.empty() && text.size() <= maximum;
}

/** @return a required string that satisfies the predicate; empty, with a fault, if it does not. */
std::string readRequiredText(ObjectReader& reader, const std::string& member,
                             bool (*is_valid)(std::string_view), const std::string& message) {
  const JsonValue* value = reader.required(member);
  if (value == nullptr) {
    return {};
  }
  if (value->kind != JsonKind::String || !is_valid(value->text)) {
    reader.fault(member, ResultCode::InvalidValue, message);
    return {};
  }
  return value->text;
}

}  // namespace

bool isName(std::string_view text) {
  return hasLength(text, MaximumNameLength) && std::ranges::all_of(text, isNameCharacter);
}

bool isModelName(std::string_view text) {
  return hasLength(text, MaximumModelNameLength) && std::ranges::all_of(text, isModelNameCharacter);
}

bool isSha256(std::string_view text) {
  return text.size() == Sha256Length && std::ranges::all_of(text, isHexadecimal);
}

bool checkInteger(const JsonValue& value, IntegerRange range, const std::string& path,
                  std::vector<Fault>& faults) {
  const bool is_valid = value.kind == JsonKind::Integer && value.integer >= range.minimum &&
                        value.integer <= range.maximum;
  if (!is_valid) {
    faults.push_back({path, ResultCode::InvalidValue,
                      "must be an integer from " + std::to_string(range.minimum) + " to " +
                          std::to_string(range.maximum)});
  }
  return is_valid;
}

ObjectReader::ObjectReader(const JsonValue& value, std::string path, std::vector<Fault>& faults)
    : value_(value), path_(std::move(path)), faults_(faults) {
  if (value_.kind != JsonKind::Object) {
    faults_.push_back({path_, ResultCode::InvalidValue, "must be an object"});
  }
}

const JsonValue* ObjectReader::optional(const std::string& name) {
  read_members_.push_back(name);
  return value_.find(name);
}

const JsonValue* ObjectReader::optionalObject(const std::string& name) {
  const JsonValue* member = optional(name);
  if (member != nullptr && member->kind != JsonKind::Object) {
    fault(name, ResultCode::InvalidValue, "must be an object");
    return nullptr;
  }
  return member;
}

const JsonValue* ObjectReader::required(const std::string& name) {
  const JsonValue* member = optional(name);
  if (member == nullptr && value_.kind == JsonKind::Object) {
    fault(name, ResultCode::MissingField, "is missing");
  }
  return member;
}

std::string ObjectReader::name(const std::string& member) {
  return readRequiredText(*this, member, isName,
                          "must be a name of 1 to 64 characters of a-z, 0-9, '.', '_' and '-'");
}

std::string ObjectReader::sha256(const std::string& member) {
  return readRequiredText(*this, member, isSha256,
                          "must be a SHA-256 of 64 lower-case hexadecimal digits");
}

std::string ObjectReader::text(const std::string& member, std::string fallback) {
  const JsonValue* value = optional(member);
  if (value == nullptr) {
    return fallback;
  }
  if (value->kind != JsonKind::String) {
    fault(member, ResultCode::InvalidValue, "must be a string");
    return fallback;
  }
  return value->text;
}

std::int64_t ObjectReader::integer(const std::string& member, IntegerRange range,
                                   std::int64_t fallback) {
  const JsonValue* value = optional(member);
  if (value == nullptr || !checkInteger(*value, range, pathOf(member), faults_)) {
    return fallback;
  }
  return value->integer;
}

double ObjectReader::nonNegativeNumber(const std::string& member, double fallback) {
  const JsonValue* value = optional(member);
  if (value == nullptr) {
    return fallback;
  }
  const bool is_integer = value->kind == JsonKind::Integer;
  const double number = is_integer ? static_cast<double>(value->integer) : value->number;
  if ((!is_integer && value->kind != JsonKind::Number) || number < 0) {
    fault(member, ResultCode::InvalidValue, "must be a number of at least 0");
    return fallback;
  }
  return number;
}

bool ObjectReader::boolean(const std::string& member, bool fallback) {
  const JsonValue* value = optional(member);
  if (value == nullptr) {
    return fallback;
  }
  if (value->kind != JsonKind::Boolean) {
    fault(member, ResultCode::InvalidValue, "must be true or false");
    return fallback;
  }
  return value->boolean;
}

std::vector<std::string> ObjectReader::texts(const std::string& member) {
  std::vector<std::string> texts;
  const JsonValue* value = optional(member);
  if (value == nullptr) {
    return texts;
  }
  if (value->kind != JsonKind::Array) {
    fault(member, ResultCode::InvalidValue, "must be a list of strings");
    return texts;
  }
  for (std::size_t index = 0; index < value->elements.size(); ++index) {
    if (value->elements[index].kind == JsonKind::String) {
      texts.push_back(value->elements[index].text);
    } else {
      fault(member + "[" + std::to_string(index) + "]", ResultCode::InvalidValue,
            "must be a string");
    }
  }
  return texts;
}

void ObjectReader::finish() {
  for (const std::string& name : value_.names) {
    if (std::ranges::find(read_members_, name) == read_members_.end()) {
      fault(name, ResultCode::UnknownField, "is not a known field of this object");
    }
  }
}

void ObjectReader::fault(const std::string& member, base::ResultCode code,
                         const std::string& message) {
  faults_.push_back({pathOf(member), code, message});
}

std::string ObjectReader::pathOf(const std::string& member) const {
  return path_.empty() ? member : path_ + "." + member;
}

}  // namespace switchsaddle::configuration
