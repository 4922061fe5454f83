#include "switchsaddle/front/request_parser.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::front {

using base::ResultCode;
using configuration::JsonKind;
using configuration::JsonValue;

namespace {

constexpr std::array<std::string_view, 12> CompletionFields{
    "model", "messages", "stream", "max_tokens", "user",         "temperature",
    "top_p", "stop",     "n",      "seed",       "prefix_parts", "conversation"};
constexpr std::array<std::string_view, 3> OneShotFields{"service", "model", "payload"};
constexpr std::array<std::string_view, 2> PrefixSegmentFields{"id", "tokens"};
constexpr std::size_t MaximumDepth = 32;
/** Rough length of a token in bytes, for prompts that do not tell their tokens. */
constexpr std::size_t BytesPerToken = 4;
constexpr std::int64_t LargestCount = 1'000'000'000;

[[noreturn]] void fail(ResultCode code, const std::string& path, const std::string& message) {
  throw base::Error(code, message, path);
}

JsonValue parseObject(const std::string& body) {
  std::vector<configuration::Fault> faults;
  configuration::JsonLimits limits;
  limits.maximum_depth = MaximumDepth;
  std::optional<JsonValue> value = configuration::parseJson(body, limits, "", faults);
  if (!value) {
    const configuration::Fault fault = faults.empty() ? configuration::Fault{} : faults.front();
    fail(ResultCode::MalformedJson, fault.path, fault.message);
  }
  if (value->kind != JsonKind::Object) {
    fail(ResultCode::InvalidValue, "", "the body is not an object");
  }
  return std::move(*value);
}

template <std::size_t Count>
void refuseUnknown(const JsonValue& object, const std::array<std::string_view, Count>& known,
                   const std::string& prefix) {
  for (const std::string& name : object.names) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      fail(ResultCode::UnknownField, prefix + name, "unknown field");
    }
  }
}

const JsonValue& require(const JsonValue& object, const std::string& name,
                         const std::string& prefix) {
  const JsonValue* value = object.find(name);
  if (value == nullptr) {
    fail(ResultCode::MissingField, prefix + name, "the field is required");
  }
  return *value;
}

void requireKind(const JsonValue& value, JsonKind kind, const std::string& path,
                 const char* expected) {
  if (value.kind != kind) {
    fail(ResultCode::InvalidValue, path, std::string("expected ") + expected);
  }
}

std::string requireText(const JsonValue& object, const std::string& name,
                        const std::string& prefix) {
  const JsonValue& value = require(object, name, prefix);
  requireKind(value, JsonKind::String, prefix + name, "a string");
  if (value.text.empty()) {
    fail(ResultCode::InvalidValue, prefix + name, "the string is empty");
  }
  return value.text;
}

void checkOptional(const JsonValue& object, const std::string& name, JsonKind kind,
                   const char* expected) {
  if (const JsonValue* value = object.find(name)) {
    requireKind(*value, kind, name, expected);
  }
}

std::uint32_t requireCount(const JsonValue& value, std::int64_t least, const std::string& path) {
  requireKind(value, JsonKind::Integer, path, "a whole number");
  if (value.integer < least || value.integer > LargestCount) {
    fail(ResultCode::InvalidValue, path, "the number is out of range");
  }
  return static_cast<std::uint32_t>(value.integer);
}

/** Checks the messages and returns the number of their bytes. */
std::size_t checkMessages(const JsonValue& messages) {
  requireKind(messages, JsonKind::Array, "messages", "an array");
  if (messages.elements.empty()) {
    fail(ResultCode::InvalidValue, "messages", "the array is empty");
  }
  std::size_t bytes = 0;
  for (std::size_t index = 0; index < messages.elements.size(); ++index) {
    const std::string path = "messages[" + std::to_string(index) + "]";
    const JsonValue& message = messages.elements[index];
    requireKind(message, JsonKind::Object, path, "an object");
    requireText(message, "role", path + ".");
    const JsonValue& content = require(message, "content", path + ".");
    if (content.kind != JsonKind::String && content.kind != JsonKind::Array) {
      fail(ResultCode::InvalidValue, path + ".content", "expected a string or an array");
    }
    bytes += content.kind == JsonKind::String ? content.text.size() : content.canonical().size();
  }
  return bytes;
}

std::vector<routing::PrefixSegment> readPrefixParts(const JsonValue* parts) {
  std::vector<routing::PrefixSegment> read;
  if (parts == nullptr) {
    return read;
  }
  requireKind(*parts, JsonKind::Array, "prefix_parts", "an array");
  for (std::size_t index = 0; index < parts->elements.size(); ++index) {
    const std::string path = "prefix_parts[" + std::to_string(index) + "]";
    const JsonValue& part = parts->elements[index];
    requireKind(part, JsonKind::Object, path, "an object");
    refuseUnknown(part, PrefixSegmentFields, path + ".");
    const std::string id = requireText(part, "id", path + ".");
    const JsonValue& tokens = require(part, "tokens", path + ".");
    read.push_back({id, requireCount(tokens, 0, path + ".tokens")});
  }
  return read;
}

void setMember(JsonValue& object, const std::string& name, JsonValue value) {
  for (std::size_t index = 0; index < object.names.size(); ++index) {
    if (object.names[index] == name) {
      object.elements[index] = std::move(value);
      return;
    }
  }
  object.names.push_back(name);
  object.elements.push_back(std::move(value));
}

}  // namespace

CompletionBody parseCompletionBody(const std::string& body, std::uint32_t default_maximum_tokens) {
  JsonValue object = parseObject(body);
  refuseUnknown(object, CompletionFields, "");
  CompletionBody parsed;
  parsed.prompt.model = requireText(object, "model", "");
  const std::size_t bytes = checkMessages(require(object, "messages", ""));
  checkOptional(object, "stream", JsonKind::Boolean, "true or false");
  checkOptional(object, "user", JsonKind::String, "a string");
  checkOptional(object, "conversation", JsonKind::String, "a string");
  if (const JsonValue* stream = object.find("stream")) {
    parsed.stream = stream->boolean;
  }
  const JsonValue* maximum = object.find("max_tokens");
  parsed.prompt.maximum_tokens =
      maximum == nullptr ? default_maximum_tokens : requireCount(*maximum, 1, "max_tokens");
  parsed.prompt.prefix_segments = readPrefixParts(object.find("prefix_parts"));
  std::uint64_t tokens = bytes / BytesPerToken;
  for (const routing::PrefixSegment& part : parsed.prompt.prefix_segments) {
    tokens += part.tokens;
  }
  parsed.prompt.prompt_tokens =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, LargestCount));
  JsonValue streaming;
  streaming.kind = JsonKind::Boolean;
  streaming.boolean = true;
  setMember(object, "stream", std::move(streaming));
  JsonValue token_limit;
  token_limit.kind = JsonKind::Integer;
  token_limit.integer = parsed.prompt.maximum_tokens;
  setMember(object, "max_tokens", std::move(token_limit));
  parsed.worker_body = object.canonical();
  return parsed;
}

OneShotBody parseOneShotBody(const std::string& body) {
  const JsonValue object = parseObject(body);
  refuseUnknown(object, OneShotFields, "");
  OneShotBody parsed;
  parsed.service = requireText(object, "service", "");
  if (object.find("model") != nullptr) {
    parsed.model = requireText(object, "model", "");
  }
  require(object, "payload", "");
  parsed.worker_body = object.canonical();
  parsed.fingerprint = base::hashBytes(parsed.worker_body);
  return parsed;
}

}  // namespace switchsaddle::front
